/** Bytes of a client that are no request, or that came too late to be one. */
export interface InputError {
  /** Error code of the HTTP parser, of the server, or HEAP_FULL. */
  readonly code: string
  readonly status: 400 | 408 | 413 | 431 | 503
}

/** Bytes that the requests of a host may hold together. */
export interface RequestMemoryLimits {
  readonly bodyBytes: number
  readonly headBytes: number
}

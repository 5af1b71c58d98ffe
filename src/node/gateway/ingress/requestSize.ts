/** Size of a request, as its head states it. */
export interface RequestSize {
  /** Heap that the head takes. */
  readonly headBytes: number
  /** Length of the body; undefined when it ends with its last chunk. */
  readonly bodyBytes: number | undefined
}

/** One stream as the benchmark client saw it. */
export interface StreamResult {
  readonly firstTokenMs: number
  readonly endedAtMs: number
  /** Why the stream is not whole; undefined when it is. */
  readonly fault?: string
}

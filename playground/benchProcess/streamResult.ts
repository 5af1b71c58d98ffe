/** One stream as the benchmark client saw it. */
export interface StreamResult {
  readonly firstTokenMs: number
  readonly endedAtMs: number
  /** Why the stream is incomplete or wrong; undefined for a complete stream. */
  readonly fault?: string
}

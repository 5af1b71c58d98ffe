/** A request that a caller sends, with the expected properties of its answer. */
export interface CallerRequest {
  readonly kind: string
  /** Request id. @default a new one */
  readonly requestId?: string
  readonly input: unknown
  /** Marker in the input, which every part of the answer must repeat. */
  readonly marker: string
  /** Number of tokens of the complete answer; undefined for kinds that do not generate tokens. */
  readonly tokenCount?: number
  readonly stream: boolean
  /** Deadline of the contract; the caller gives up `graceMs` later. */
  readonly deadlineMs: number
  /** Shorter deadline that is sent with the request. */
  readonly shortenedDeadlineMs?: number
  /** Time after which the caller cancels the request. */
  readonly abandonAfterMs?: number
  /** Number of retries after `not_run` answers with a retry hint. @default 3 */
  readonly maxRetries?: number
}

/** A request that a caller sends, with what its answer must look like. */
export interface CallerRequest {
  readonly kind: string
  /** Id to send the request under. @default a new one */
  readonly requestId?: string
  readonly input: unknown
  /** Marker in the input; every part of the answer must carry it. */
  readonly marker: string
  /** Number of tokens of a whole answer; undefined for kinds that do not generate. */
  readonly tokenCount?: number
  readonly stream: boolean
  /** Deadline of the contract; the caller waits a little longer before it gives up. */
  readonly deadlineMs: number
  /** Shorter deadline that is sent with the request. */
  readonly shortenedDeadlineMs?: number
  readonly abandonAfterMs?: number
  /** Number of retries after `not_run` answers with a retry hint. @default 3 */
  readonly maxRetries?: number
}

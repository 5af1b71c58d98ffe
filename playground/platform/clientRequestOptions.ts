export interface ClientRequestOptions {
  readonly method?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly signal?: AbortSignal
  /** Time for which the client reads nothing after the head of the answer, in milliseconds. */
  readonly readDelayMs?: number
}

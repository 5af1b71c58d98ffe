/** What the logs tell of a request. */
export interface RequestExplanation {
  /** One row for each log line, in order of time. */
  readonly timeline: readonly string[]
  /** Why the request ended as it did; undefined when no line names it. */
  readonly cause: string | undefined
  /** Lines that name the request and cannot be read. */
  readonly unreadableCount: number
}

/** Timeline of a request and the cause of its end, as found in the logs. */
export interface RequestExplanation {
  /** One row for each log line, in order of time. */
  readonly timeline: readonly string[]
  /** Why the request ended as it did; undefined when no line belongs to the request. */
  readonly cause: string | undefined
  /** Number of lines that contain the request id and cannot be parsed. */
  readonly unreadableCount: number
}

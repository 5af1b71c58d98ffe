/** A parsed log line. */
export interface LogLine {
  readonly timeMs: number
  readonly host: string
  readonly message: string
  readonly requestId?: string
  /** First request of a stage call that is shared by several requests. */
  readonly firstRequestId?: string
  readonly fields: Readonly<Record<string, unknown>>
}

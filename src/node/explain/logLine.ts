/** A line of the log. */
export interface LogLine {
  readonly timeMs: number
  readonly host: string
  readonly message: string
  readonly requestId?: string
  /** First of the requests that a call for several requests was made for. */
  readonly firstRequestId?: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** What the host of a request tells the scheduling host that chose its engine. */
export interface FirstEventReport {
  readonly jobId: string
  /** Time from sending the request to its first event, or until it was given up. */
  readonly elapsedMs: number
  /** Whether the first event has arrived. */
  readonly hasBegun: boolean
}

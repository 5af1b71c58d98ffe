/** What a finished execution tells the burn report. */
export interface ExecutionReport {
  readonly slowestStage?: string
  readonly slowestUpstream?: string
}

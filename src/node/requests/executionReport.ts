/** The slowest stage of a finished execution and its upstream, for the burn report. */
export interface ExecutionReport {
  readonly slowestStage?: string
  readonly slowestUpstream?: string
}

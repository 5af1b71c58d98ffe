/** Response of a stage pool member or a plain service. */
export interface StageResponse {
  /** Id of the call that the response belongs to, according to the upstream. */
  readonly callId: string
  readonly output: unknown
}

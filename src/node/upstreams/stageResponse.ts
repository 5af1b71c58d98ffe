/** Answer of a stage pool member or a plain service. */
export interface StageResponse {
  /** Id of the call that the answer belongs to, as the upstream states it. */
  readonly callId: string
  readonly output: unknown
}

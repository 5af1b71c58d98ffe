/** Results of one stage, in the order of its pieces. */
export interface StageOutput {
  readonly index: number
  readonly handles: readonly string[]
}

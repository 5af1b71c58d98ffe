/** A result that an upstream of a stage service holds. */
export interface StageResult {
  readonly bytes: number
  readonly failureDomain: string
}

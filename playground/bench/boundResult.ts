/** One bound of docs/design.md, section 3, against the measured figure. */
export interface BoundResult {
  readonly name: string
  readonly value: number
  readonly bound: number
  readonly passed: boolean
}

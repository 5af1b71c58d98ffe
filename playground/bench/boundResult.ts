/** A measured figure and its bound from docs/design.md, section 3. */
export interface BoundResult {
  readonly name: string
  readonly value: number
  readonly bound: number
  readonly passed: boolean
}

/** Minimum, median and maximum of a figure over the rounds. */
export interface Spread {
  readonly min: number
  readonly median: number
  readonly max: number
}

/** Log-normal distribution; values above `max` become `max`. */
export interface Distribution {
  readonly mean: number
  /** Standard deviation of the logarithm; 0 for a constant. */
  readonly spread: number
  readonly max: number
}

/** A regression line through the medians of a series. */
export interface CapacityFit {
  readonly slope: number
  readonly intercept: number
  /** Root mean square of the residuals as a share of the mean of the medians. */
  readonly relativeError: number
  /** Value of the line at the target size. */
  readonly atTarget: number
  /** Whether the target size itself was measured. */
  readonly isMeasured: boolean
}

/** Counts of one 5-minute bucket. */
export interface BurnPoint {
  /** Start of the bucket, milliseconds since the epoch. */
  readonly atMs: number
  readonly total: number
  readonly missed: number
}

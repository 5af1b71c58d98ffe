/** Length of a window of the burn report. */
export type BurnWindowName = '5m' | '1h' | '6h'

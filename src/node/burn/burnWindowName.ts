/** Name of a burn report window, which is its length. */
export type BurnWindowName = '5m' | '1h' | '6h'

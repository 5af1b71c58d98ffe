/** A lease of the store. Its id may be given out again in a later era, then to another owner. */
export interface StoreLease {
  readonly id: number
  /** Era in which the lease was created. */
  readonly era: number
}

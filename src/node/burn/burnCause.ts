/** A stage, upstream or error code and the number of missed requests attributed to it. */
export interface BurnCause {
  readonly label: string
  readonly count: number
}

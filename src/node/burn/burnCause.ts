/** One stage, upstream or code and the number of missed requests that it accounts for. */
export interface BurnCause {
  readonly label: string
  readonly count: number
}

/** A running attempt of a stage at one upstream. */
export interface StageAttempt {
  /** Gives the attempt up and cancels the work at the upstream. */
  cancel (): void
  /** Gives the attempt up but leaves the work to another host that has taken it over. */
  close (): void
}

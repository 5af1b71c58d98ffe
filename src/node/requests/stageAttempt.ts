/** A running attempt of a stage on one upstream. */
export interface StageAttempt {
  /** Ends the attempt and cancels the work on the upstream. */
  cancel (): void
  /** Ends the attempt but leaves the work running on the upstream for the host that has taken it over. */
  close (): void
}

/** Lanes of a queue; a lower one goes first. */
export enum SchedulingClass {
  onTime,
  /** Late work with results of earlier stages. */
  lateStarted,
  lateNotStarted
}

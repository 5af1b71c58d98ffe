/** Classes of the work in a queue; a lower one goes first. */
export enum SchedulingClass {
  onTime,
  /** Late work that takes results of earlier stages. */
  lateStarted,
  lateNotStarted
}

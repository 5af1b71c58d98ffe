/** Lanes of a queue; a lower one goes first. */
export enum TaskLane {
  onTime,
  /** Late work with results of earlier stages. */
  lateBegun,
  late
}

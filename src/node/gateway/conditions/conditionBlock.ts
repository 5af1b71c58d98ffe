/** States that an upstream gets no requests now. */
export interface ConditionBlock {
  /** Time for which it gets none: Infinity when unknown, 0 when the end of a request in progress decides. */
  readonly waitMs: number
  /** Estimated time until a request in progress makes room, when its end decides; undefined otherwise. */
  readonly roomInMs?: number
}

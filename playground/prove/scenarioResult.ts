import type { Violation } from './history/violation.js'

/** Figures of one scenario, or of a proof's scenarios together. */
export interface ScenarioResult {
  readonly requests: number
  readonly faults: readonly string[]
  readonly whole: number
  readonly refused: number
  readonly unknown: number
  /** Requests that were not answered, by error code. */
  readonly errorCounts: ReadonlyMap<string, number>
  readonly violations: readonly Violation[]
}

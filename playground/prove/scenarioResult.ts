import type { Violation } from './history/violation.js'

/** Result of one scenario, or the sum over a proof's scenarios. */
export interface ScenarioResult {
  readonly requests: number
  /** Log of the injected faults, one line for each start and end. */
  readonly faults: readonly string[]
  /** Requests with a complete, correct answer. */
  readonly whole: number
  /** Requests whose final error says that they were not executed. */
  readonly refused: number
  /** Requests that failed otherwise or were abandoned, so that they may have been executed. */
  readonly unknown: number
  /** Requests without a complete, correct answer, by kind, error code and `ran` value. */
  readonly errorCounts: ReadonlyMap<string, number>
  readonly violations: readonly Violation[]
}

import type { SoakFault } from './soakFault.js'

/** Outcome of a soak run. */
export interface SoakResult {
  readonly seed: number
  readonly plan: readonly SoakFault[]
  readonly requests: number
  readonly served: number
  readonly runs: number
  /** Broken promises; empty when all were kept. */
  readonly violations: readonly string[]
  readonly logs: ReadonlyArray<{ readonly host: string, readonly lines: readonly string[] }>
}

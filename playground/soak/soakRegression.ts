import type { SoakOptions } from './soakOptions.js'

/**
 * A run that once revealed a violation. Options that are absent are those of the tests: of `runSignalSoak.test.ts` when
 * `signals` is given, of `runSoak.test.ts` otherwise.
 */
export interface SoakRegression extends Partial<SoakOptions> {
  readonly seed: number
  readonly cause: string
}

import type { Clock } from '../../types/clock.js'

/** Options of `createMetrics`. */
export interface MetricsOptions {
  /** @default systemClock */
  readonly clock?: Clock
  /**
   * HELP texts by rendered name, added to those of `metricHelp`.
   * @default none
   */
  readonly help?: Readonly<Record<string, string>>
  /**
   * Adds processor time, resident memory and event loop delay of this process.
   * @default true
   */
  readonly processMetrics?: boolean
}

import type { Clock } from '../../types/clock.js'

/** Options of `createMetrics`. */
export interface MetricsOptions {
  /** @default the clock of the process */
  readonly clock?: Clock
  /**
   * HELP texts by rendered name, added to those of `metricHelp`.
   * @default none
   */
  readonly help?: Readonly<Record<string, string>>
  /**
   * Adds processor seconds, resident bytes and event loop delay of this process.
   * @default true
   */
  readonly processMetrics?: boolean
}

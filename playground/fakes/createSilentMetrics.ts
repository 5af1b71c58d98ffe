import type { Metrics } from '../../src/types/metrics.js'

/** Metrics that keep nothing. */
export function createSilentMetrics (): Metrics {
  return { addCount: () => {}, setGauge: () => {}, recordDuration: () => {}, render: () => '' }
}

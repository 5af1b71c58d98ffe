import type { Metrics } from '../../src/types/metrics.js'

/** Creates metrics for tests: keeps the sum of each counter and the last value of each gauge by name, and renders them as JSON. */
export function createMemoryMetrics (): Metrics {
  const counts = new Map<string, number>()
  return {
    addCount: (name, _labels, by = 1) => { counts.set(name, (counts.get(name) ?? 0) + by) },
    setGauge: (name, _labels, value) => { counts.set(name, value) },
    recordDuration: () => {},
    render: () => JSON.stringify(Object.fromEntries(counts))
  }
}

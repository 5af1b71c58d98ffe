import type { Metrics } from '../../src/types/metrics.js'

/** Metrics for tests: keeps the sum of each counter by name, without its labels, and ignores gauges and durations. */
export class CountingMetrics implements Metrics {
  readonly counts = new Map<string, number>()

  addCount (name: string, _labels: Readonly<Record<string, string>>, by = 1): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + by)
  }

  setGauge (): void {}

  recordDuration (): void {}

  render (): string {
    return [...this.counts].map(([name, count]) => `${name} ${count}\n`).join('')
  }
}

import { requestConstants } from './constants.js'

/** Tracks a quantile of recent stage durations, from which stage budgets are computed. */
export class LatencyModel {
  private readonly samples = new Map<string, { readonly values: number[], next: number, quantile: number }>()

  observe (stageKey: string, elapsedMs: number): void {
    let entry = this.samples.get(stageKey)
    if (entry === undefined) this.samples.set(stageKey, entry = { values: [], next: 0, quantile: 0 })
    entry.values[entry.next] = elapsedMs
    entry.next = (entry.next + 1) % requestConstants.latencySampleCount
    // The quantile changes slowly compared with the rate of samples, so it is recomputed only every 16 samples.
    if (entry.next % 16 === 10 || entry.values.length === requestConstants.minimumLatencySamples) {
      const sorted = entry.values.toSorted((a, b) => a - b)
      entry.quantile = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * requestConstants.budgetQuantile))]!
    }
  }

  /** Returns the quantile in milliseconds, or undefined while there are too few samples. */
  findQuantile (stageKey: string): number | undefined {
    const entry = this.samples.get(stageKey)
    return entry === undefined || entry.values.length < requestConstants.minimumLatencySamples ? undefined : entry.quantile
  }
}

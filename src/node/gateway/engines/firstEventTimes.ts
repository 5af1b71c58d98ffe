import { engineConstants } from './constants.js'

/**
 * Estimates a quantile of the time from sending a request to its first event, by route. The stages must leave this time
 * for the engine. Steps are in proportion to the value, because routes differ tenfold.
 */
export class FirstEventTimes {
  private readonly quantiles = new Map<string, number>()

  getReserveMs (route: string): number {
    return this.quantiles.get(route) ?? engineConstants.initialReserveMs
  }

  observe (route: string, durationMs: number): void {
    const { reserveQuantile, reserveStep, minReserveMs, maxReserveMs } = engineConstants
    const current = this.getReserveMs(route)
    const factor = durationMs > current ? 1 + reserveStep * reserveQuantile : 1 - reserveStep * (1 - reserveQuantile)
    this.quantiles.set(route, Math.min(Math.max(current * factor, minReserveMs), maxReserveMs))
  }
}

import { upstreamConstants } from './constants.js'

/**
 * Time after which a host that has had no answer from a limited upstream sends it a request again, to learn whether the
 * limit still holds. Grows with the number of hosts, so that these requests use a small part of the limit.
 */
export function computeLimitLifetimeMs (requestsPerSecond: number, hostCount: number): number {
  const { limitProbeShare, minLimitLifetimeMs, maxLimitLifetimeMs } = upstreamConstants
  const intervalMs = hostCount / (requestsPerSecond * limitProbeShare) * 1000
  return Math.min(Math.max(intervalMs, minLimitLifetimeMs), maxLimitLifetimeMs)
}

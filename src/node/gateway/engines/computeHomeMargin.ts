import { capacityConstants } from '../capacity/constants.js'
import { engineConstants } from './constants.js'
import type { HomeMargin } from './homeMargin.js'
import type { ServiceCapacity } from '../capacity/serviceCapacity.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface MarginOptions {
  readonly home: UpstreamState
  readonly cachedTokens: number
  readonly capacity: ServiceCapacity
  readonly nowMs: number
}

/**
 * Computes the margin in favour of the home engine. A prompt part that moves is read again, takes room from other parts
 * in the cache of its new engine, and is moved again by the next small difference of the learned figures. The margin
 * grows with the tokens that the home engine has cached. It ends as the home engine becomes slow, and applies only as far
 * as its speed is known: a host with few requests would find out late that it has become slow.
 */
export function computeHomeMargin ({ home, cachedTokens, capacity, nowMs }: MarginOptions): HomeMargin {
  const { homeMarginWeight, maxHomeMarginMs, homeMarginSamples } = engineConstants
  const { id } = home.entry
  const certainty = computeShare(capacity.countReadSamples(id, nowMs) - 1, homeMarginSamples - 1)
  if (certainty === 0 || cachedTokens <= 0) return { cachedTokens, msPerToken: 0 }
  const ratio = capacity.computeReadRatio(id, home.inFlight, nowMs)
  const speed = computeShare(capacityConstants.slowRatio - ratio, capacityConstants.slowRatio - 1)
  const marginMs = capacity.computeMedianReadMs(cachedTokens) * homeMarginWeight * certainty * speed
  return { cachedTokens, msPerToken: Math.min(marginMs, maxHomeMarginMs) / cachedTokens }
}

/** Part of the whole, from 0 to 1. */
function computeShare (part: number, whole: number): number {
  return Math.min(Math.max(part / whole, 0), 1)
}

import { limitConstants } from './constants.js'

/**
 * Number of requests of an account that may be leased or saved up at one time, for a rate in requests per
 * second. A window of 10 s gets fewer than burst + 10 * rate requests. Because requests are whole, small
 * accounts get a smaller burst than `burstSeconds` allows, but at least one request.
 */
export function computeBurst (rate: number): number {
  const { burstSeconds, windowSeconds, windowShare } = limitConstants
  const allowed = Math.floor(windowShare * windowSeconds * rate + 1e-9) + 1 - windowSeconds * rate
  return Math.max(1, Math.min(1 + burstSeconds * rate, allowed))
}

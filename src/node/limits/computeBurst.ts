import { limitConstants } from './constants.js'

/**
 * Number of requests of an account that may be leased or saved up at one time, for `rate` requests a
 * second. A window of 10 s gets fewer than burst + 10 * rate requests; whole requests of small accounts make
 * the burst smaller than the general share, but never smaller than one request.
 */
export function computeBurst (rate: number): number {
  const { burstSeconds, windowSeconds, windowShare } = limitConstants
  const allowed = Math.floor(windowShare * windowSeconds * rate + 1e-9) + 1 - windowSeconds * rate
  return Math.max(1, Math.min(1 + burstSeconds * rate, allowed))
}

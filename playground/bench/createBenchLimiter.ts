import type { AccountLimiter } from '../../src/types/accountLimiter.js'

const windowMs = 10_000
const stepMs = 100
const steps = windowMs / stepMs
/** Share of the contract that any window may reach; the bound is 1.05. */
const largestShare = 1.04

/**
 * An ideal limit across hosts: an account gets at most its contract and 4% in any 10 s. Stands in for
 * the rate leases. A sliding window lets short bursts pass that a token bucket of 5% depth refuses.
 */
export function createBenchLimiter (rates: ReadonlyMap<string, number>): AccountLimiter {
  const windows = new Map<string, { readonly counts: Int32Array, step: number, total: number }>()
  return {
    take (account, nowMs) {
      const limit = (rates.get(account) ?? 0) * windowMs / 1000 * largestShare
      const step = Math.floor(nowMs / stepMs)
      const window = windows.get(account) ?? { counts: new Int32Array(steps + 1), step, total: 0 }
      windows.set(account, window)
      for (; window.step < step; window.step++) {
        const at = (window.step + 1) % window.counts.length
        window.total -= window.counts[at] ?? 0
        window.counts[at] = 0
      }
      if (window.total + 1 > limit) return { granted: false, retryAfterMs: stepMs }
      const at = step % window.counts.length
      window.counts[at] = (window.counts[at] ?? 0) + 1
      window.total++
      return { granted: true, retryAfterMs: 0 }
    }
  }
}

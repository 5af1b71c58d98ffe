import type { Deployment } from './deployment.js'
import type { RequestResult } from './requestResult.js'
import type { RunResult } from './runResult.js'
import type { Scenario } from './scenario.js'

const windowMs = 10_000
const stepMs = 1000
/** An account asks for its contract throughout a window if it does so in each of this many equal parts. */
const windowParts = 5

/**
 * Computes the largest and the smallest share of its contract that an account got in a window of 10 s. The smallest
 * share is taken only over windows in which the account asked for its contract throughout.
 */
export function computeLimitMeasures (deployment: Deployment, scenario: Scenario, result: RunResult): ReadonlyMap<string, number> {
  const usualRate = deployment.kinds.reduce((sum, kind) => sum + kind.rate, 0)
  const seeds = new Set(result.requests.map(request => request.id.split('/').length > 1 ? request.id.split('/')[0] : ''))
  let maxShare = 0
  let minShare = 1
  for (const seed of seeds) {
    const own = seeds.size === 1 ? result.requests : result.requests.filter(request => request.id.startsWith(`${seed}/`))
    for (const [index, share] of deployment.accounts.entries()) {
      const contract = usualRate * share * scenario.contractFactor * windowMs / 1000
      const asked = own.filter(request => request.account === `account-${index}`)
      for (let startMs = 0; startMs + windowMs <= scenario.durationMs; startMs += stepMs) {
        const inside = asked.filter(request => request.atMs >= startMs && request.atMs < startMs + windowMs)
        const got = inside.filter(request => request.outcome !== 'refused').length
        maxShare = Math.max(maxShare, got / contract)
        if (isDemandSustained(inside, startMs, contract)) minShare = Math.min(minShare, got / contract)
      }
    }
  }
  return new Map([['most of contract', maxShare], ['least of contract', minShare]])
}

/**
 * Whether the requests of a window ask for the contract throughout. What an account did not ask for in a pause cannot
 * be granted later without passing 105% of the contract in another window, so such a window does not count.
 */
function isDemandSustained (requests: readonly RequestResult[], startMs: number, contract: number): boolean {
  const counts = new Array<number>(windowParts).fill(0)
  for (const request of requests) {
    const part = Math.floor((request.atMs - startMs) / windowMs * windowParts)
    counts[part] = (counts[part] ?? 0) + 1
  }
  return counts.every(count => count >= contract / windowParts)
}

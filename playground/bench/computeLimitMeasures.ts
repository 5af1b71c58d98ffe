import type { Deployment } from './deployment.js'
import type { RequestResult } from './requestResult.js'
import type { RunResult } from './runResult.js'
import type { Scenario } from './scenario.js'

const windowMs = 10_000
const stepMs = 1000
/** An account asks for its contract throughout a window when it does in each of this many parts. */
const parts = 5

/** What each account got relative to its contract over windows of 10 s; the least over windows in which it asked for its contract throughout. */
export function computeLimitMeasures (deployment: Deployment, scenario: Scenario, result: RunResult): ReadonlyMap<string, number> {
  const usualRate = deployment.kinds.reduce((sum, kind) => sum + kind.rate, 0)
  const seeds = new Set(result.requests.map(request => request.id.split('/').length > 1 ? request.id.split('/')[0] : ''))
  let most = 0
  let least = 1
  for (const seed of seeds) {
    const own = seeds.size === 1 ? result.requests : result.requests.filter(request => request.id.startsWith(`${seed}/`))
    for (const [index, share] of deployment.accounts.entries()) {
      const contract = usualRate * share * scenario.contractFactor * windowMs / 1000
      const asked = own.filter(request => request.account === `account-${index}`)
      for (let startMs = 0; startMs + windowMs <= scenario.durationMs; startMs += stepMs) {
        const inside = asked.filter(request => request.atMs >= startMs && request.atMs < startMs + windowMs)
        const got = inside.filter(request => request.outcome !== 'refused').length
        most = Math.max(most, got / contract)
        if (isDemandSustained(inside, startMs, contract)) least = Math.min(least, got / contract)
      }
    }
  }
  return new Map([['most of contract', most], ['least of contract', least]])
}

/** A pause cannot be made up for later without passing 105% in another window, so it is no claim to the contract. */
function isDemandSustained (requests: readonly RequestResult[], startMs: number, contract: number): boolean {
  const counts = new Array<number>(parts).fill(0)
  for (const request of requests) {
    const part = Math.floor((request.atMs - startMs) / windowMs * parts)
    counts[part] = (counts[part] ?? 0) + 1
  }
  return counts.every(count => count >= contract / parts)
}

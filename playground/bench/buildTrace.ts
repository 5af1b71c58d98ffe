import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { Random } from '../../src/types/random.js'
import type { Arrival } from './arrival.js'
import type { BenchKind } from './benchKind.js'
import type { BenchSettings } from './benchSettings.js'
import type { Deployment } from './deployment.js'
import type { Scenario } from './scenario.js'
import type { SlowInterval } from './slowInterval.js'
import type { Trace } from './trace.js'

/** Builds the trace of a scenario: Poisson arrivals of each account and kind, drawn by thinning, and slow intervals of the runners. */
export function buildTrace (deployment: Deployment, scenario: Scenario, settings: BenchSettings, seed: number): Trace {
  const random = createSeededRandom(seed * 7919 + 17)
  const arrivals: Arrival[] = []
  const maxDemand = computeMaxDemand(deployment, scenario)
  for (const [index, share] of deployment.accounts.entries()) {
    for (const kind of deployment.kinds) {
      const perSecond = kind.rate * share * maxDemand * scenario.accountDemand(index)
      let atMs = 0
      for (;;) {
        atMs += -Math.log(1 - random()) * 1000 / perSecond
        if (atMs >= scenario.durationMs) break
        if (random() * maxDemand > scenario.demand(atMs, kind.name)) continue
        arrivals.push(buildArrival(arrivals.length, atMs, index, kind, deployment, scenario, settings, random))
      }
    }
  }
  arrivals.sort((a, b) => a.atMs - b.atMs)
  return { arrivals, slowIntervals: scenario.slowed ? buildSlowIntervals(deployment, scenario, settings, random) : [] }
}

function computeMaxDemand (deployment: Deployment, scenario: Scenario): number {
  let maxDemand = 0
  for (const kind of deployment.kinds) {
    for (let atMs = 0; atMs < scenario.durationMs; atMs += 100) maxDemand = Math.max(maxDemand, scenario.demand(atMs, kind.name))
  }
  return maxDemand
}

function buildArrival (number: number, atMs: number, account: number, kind: BenchKind, deployment: Deployment, scenario: Scenario, settings: BenchSettings, random: Random): Arrival {
  const computeStragglerFactor = () => scenario.stragglers && random() < settings.stragglerShare ? settings.stragglerLength : 1
  const factors: Record<string, readonly [number, number]> = {}
  for (const stage of kind.stages) factors[stage.name] = [(0.7 + 0.6 * random()) * computeStragglerFactor(), (0.7 + 0.6 * random()) * computeStragglerFactor()]
  const length = kind.tokens * (0.7 + 0.6 * random()) * computeStragglerFactor()
  const tokens = kind.tokens === 0 ? 0 : Math.max(1, Math.min(Math.round(length), kind.tokens * 8))
  // The cube of a uniform number makes the first prefixes popular and the others rare.
  const prefix = Math.floor(random() ** 3 * scenario.prefixCount)
  return {
    id: `r${number}`,
    atMs,
    account: `account-${account}`,
    hostIndex: Math.floor(random() * deployment.hosts),
    kind,
    prefixHash: kind.tokens === 0 ? undefined : `${kind.name}-${prefix}`,
    tokens,
    factors
  }
}

/** Builds the slow intervals: a share of the runners is slowed for 5 to 20 s; the next slowdown follows after a pause of 2 to 6 s. */
function buildSlowIntervals (deployment: Deployment, scenario: Scenario, settings: BenchSettings, random: Random): readonly SlowInterval[] {
  const runners = deployment.pools.find(pool => pool.name === 'runners')?.count ?? 0
  const intervals: SlowInterval[] = []
  let startMs = 6000
  while (startMs < scenario.durationMs) {
    const endMs = startMs + 5000 + random() * 15_000
    const first = Math.floor(random() * runners)
    const count = Math.round(runners * settings.slowShare)
    for (let i = 0; i < count; i++) intervals.push({ runnerIndex: (first + i * 3) % runners, startMs: startMs + random() * 500, endMs, factor: settings.slowFactor })
    startMs = endMs + 2000 + random() * 4000
  }
  return intervals
}

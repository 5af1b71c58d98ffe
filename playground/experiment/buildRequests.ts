import { computeSample } from './computeSample.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { ExperimentDay } from './experimentDay.js'
import type { ExperimentDeployment } from './experimentDeployment.js'
import type { PromptPart } from '../../src/node/gateway/model/promptPart.js'
import type { Random } from '../../src/types/random.js'
import type { RequestKind } from './requestKind.js'
import type { SimulatedRequest } from './simulatedRequest.js'
import type { TrafficSource } from './trafficSource.js'

/** The requests of a clump, which are sent almost at once, arrive within this time. */
const clumpSpanMs = 20
/** Clients stop waiting for an answer after a random time between this share of the route's timeout and the whole timeout. */
const minClientTimeoutShare = 0.85

/** Builds the requests of a day, sorted by sending time. The same seed gives the same requests. */
export function buildRequests (deployment: ExperimentDeployment, day: ExperimentDay, seed: number): readonly SimulatedRequest[] {
  const random = createSeededRandom(seed)
  const requests: SimulatedRequest[] = []
  for (const source of day.traffic) {
    const totalWeight = Object.values(source.mix).reduce((sum, weight) => sum + weight, 0)
    for (const kind of deployment.kinds) {
      const perMs = source.requestsPerSecond * (source.mix[kind.name] ?? 0) / totalWeight / 1000
      if (perMs > 0) addRequests(requests, { kind, source, day, perMs, random })
    }
  }
  return requests.sort((a, b) => a.sentAtMs - b.sentAtMs)
}

interface SourceOptions {
  readonly kind: RequestKind
  readonly source: TrafficSource
  readonly day: ExperimentDay
  readonly perMs: number
  readonly random: Random
}

/**
 * Draws the arrivals by thinning: clumps arrive as a Poisson process at the highest rate of the day, and each is kept
 * with the probability of the current rate relative to the highest one.
 */
function addRequests (requests: SimulatedRequest[], { kind, source, day, perMs, random }: SourceOptions): void {
  const { wave, clump } = source
  const computeFactor = (atMs: number): number => day.bursts
    .filter(burst => atMs >= burst.atMs && atMs < burst.atMs + burst.forMs && (burst.kind ?? kind.name) === kind.name)
    .reduce((factor, burst) => factor * burst.factor, 1 + wave.swing * Math.sin(2 * Math.PI * (atMs / wave.periodMs + wave.phase)))
  const maxFactor = (1 + wave.swing) * day.bursts.reduce((factor, burst) => factor * Math.max(burst.factor, 1), 1)
  const clumpsPerMs = perMs * maxFactor / clump
  for (let atMs = 0; ;) {
    atMs -= Math.log(1 - random()) / clumpsPerMs
    if (atMs >= day.lengthMs) return
    if (random() * maxFactor > computeFactor(atMs)) continue
    // The size of a clump is geometrically distributed with the mean `clump`.
    do {
      requests.push(buildRequest(`${source.failureDomain}-${requests.length}`, kind, source, atMs + random() * clumpSpanMs, random))
    } while (random() > 1 / clump)
  }
}

function buildRequest (id: string, kind: RequestKind, source: TrafficSource, sentAtMs: number, random: Random): SimulatedRequest {
  const shared = kind.sharedParts.map(({ tokens, count }, level): PromptPart => {
    const number = Math.floor(random() * count)
    // The seed depends on the part's number only, so that all requests that share the part agree on its size.
    const sizeRandom = createSeededRandom(number * 31 + level)
    return { id: `${kind.name}-${level}-${number}`, tokens: Math.round(computeSample(tokens, sizeRandom)) }
  })
  const own: PromptPart = { id, tokens: Math.max(Math.round(computeSample(kind.ownTokens, random)), 1) }
  const parts = [...shared, own]
  return {
    id,
    kind,
    failureDomain: source.failureDomain,
    sentAtMs,
    clientTimeoutMs: kind.timeoutMs * (minClientTimeoutShare + (1 - minClientTimeoutShare) * random()),
    pieceCounts: kind.stages.map(stage => random() < stage.share ? Math.max(Math.round(computeSample(stage.pieces, random)), 1) : 0),
    prompt: { tokens: parts.reduce((sum, part) => sum + part.tokens, 0), parts },
    events: Math.max(Math.round(computeSample(kind.events, random)), 1)
  }
}

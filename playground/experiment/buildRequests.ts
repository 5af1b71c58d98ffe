import { computeSample } from './computeSample.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { ExperimentDay } from './experimentDay.js'
import type { ExperimentDeployment } from './experimentDeployment.js'
import type { PromptPart } from '../../src/node/gateway/model/promptPart.js'
import type { Random } from '../../src/types/random.js'
import type { RequestKind } from './requestKind.js'
import type { SimulatedRequest } from './simulatedRequest.js'
import type { TrafficSource } from './trafficSource.js'

/** Requests of one clump arrive within this time. */
const clumpSpanMs = 20
/** Clients wait for this share of a route's time-out at least. */
const minClientTimeoutShare = 0.85

/** The requests of a day in order of time; the same seed gives the same requests. */
export function buildRequests (deployment: ExperimentDeployment, day: ExperimentDay, seed: number): readonly SimulatedRequest[] {
  const random = createSeededRandom(seed)
  const requests: SimulatedRequest[] = []
  for (const source of day.traffic) {
    const weights = Object.values(source.mix).reduce((sum, weight) => sum + weight, 0)
    for (const kind of deployment.kinds) {
      const perMs = source.requestsPerSecond * (source.mix[kind.name] ?? 0) / weights / 1000
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

/** Thinning of a Poisson process of clumps at the highest rate of the day. */
function addRequests (requests: SimulatedRequest[], { kind, source, day, perMs, random }: SourceOptions): void {
  const { wave, clump } = source
  const computeFactor = (atMs: number): number => day.bursts
    .filter(burst => atMs >= burst.atMs && atMs < burst.atMs + burst.forMs && (burst.kind ?? kind.name) === kind.name)
    .reduce((factor, burst) => factor * burst.factor, 1 + wave.swing * Math.sin(2 * Math.PI * (atMs / wave.periodMs + wave.phase)))
  const highest = (1 + wave.swing) * day.bursts.reduce((factor, burst) => factor * Math.max(burst.factor, 1), 1)
  const clumpsPerMs = perMs * highest / clump
  for (let atMs = 0; ;) {
    atMs -= Math.log(1 - random()) / clumpsPerMs
    if (atMs >= day.lengthMs) return
    if (random() * highest > computeFactor(atMs)) continue
    // Sizes of clumps are geometric with the given mean.
    do {
      requests.push(buildRequest(`${source.failureDomain}-${requests.length}`, kind, source, atMs + random() * clumpSpanMs, random))
    } while (random() > 1 / clump)
  }
}

function buildRequest (id: string, kind: RequestKind, source: TrafficSource, sentAtMs: number, random: Random): SimulatedRequest {
  const shared = kind.sharedParts.map(({ tokens, count }, level): PromptPart => {
    const number = Math.floor(random() * count)
    // The size of a shared part follows from its number, so that all requests agree on it.
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

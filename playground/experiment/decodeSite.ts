import { parse } from 'smol-toml'
import { siteSchema } from './siteSchema.js'
import type { Distribution } from './distribution.js'
import type { ExperimentDay } from './experimentDay.js'
import type { ExperimentDeployment } from './experimentDeployment.js'
import type { RequestKind } from './requestKind.js'
import type { Site } from './site.js'
import type { TrafficSource } from './trafficSource.js'
import type { UpstreamTrouble } from './upstreamTrouble.js'

const bytesPerMb = 1_000_000
/** Default for stages that state no number of pieces. */
const onePiece: Distribution = { mean: 1, spread: 0, max: 1 }

/**
 * Decodes a site file, a TOML description of a deployment and its load. Throws a `ZodError` when a field is missing
 * or has a wrong type.
 */
export function decodeSite (text: string): ExperimentDeployment {
  const site = siteSchema.parse(parse(text))
  const engines = site.services.find(service => service.llm !== undefined)!
  const kinds = site.classes.filter(kind => kind.stream !== undefined)
  const names = new Set(kinds.map(kind => kind.name))
  return {
    name: site.name,
    hosts: site.machines.reduce((sum, machine) => sum + machine.count, 0),
    linkMs: { betweenDomains: site.net.cross_zone_ms, toClients: site.net.client_ms },
    stageServices: site.services.flatMap(service => service.stage === undefined
      ? []
      : [{
          name: service.name,
          upstreams: countUpstreams(service.servers, site.thin),
          spec: {
            concurrentCalls: 1,
            batchSize: service.stage.batch,
            callMs: service.stage.call_ms,
            pieceMs: service.stage.item_ms,
            resultRoomBytes: service.stage.room_mb * bytesPerMb,
            resultLifetimeMs: service.stage.handle_s * 1000
          }
        }]),
    engines: {
      name: engines.name,
      upstreams: countUpstreams(engines.servers, site.thin),
      slots: engines.slots,
      prefillTokensPerMs: engines.llm!.prefill_tokens_per_ms,
      firstEventMs: engines.llm!.first_ms,
      stepMs: engines.llm!.step_ms,
      stepMsPerRequest: engines.llm!.step_ms_per_slot,
      tokensPerEvent: engines.llm!.stride,
      cacheTokens: engines.llm!.kv_tokens
    },
    noise: { share: engines.noise.share, factor: engines.noise.x, everyMs: engines.noise.every_ms },
    kinds: kinds.map(buildKind),
    days: site.day.map(day => buildDay(day, site, names))
  }
}

/** Counts the upstreams to simulate in each zone; `thin` is the share of upstreams and requests that is simulated. */
function countUpstreams (servers: Site['services'][number]['servers'], thin: number): Readonly<Record<string, number>> {
  const total = Math.round(servers.reduce((sum, { count }) => sum + count, 0) * thin)
  const counts: Record<string, number> = {}
  for (let placed = 0; placed < total; placed++) {
    const { zone } = servers[placed % servers.length]!
    counts[zone] = (counts[zone] ?? 0) + 1
  }
  return counts
}

function buildKind (kind: Site['classes'][number]): RequestKind {
  const stream = kind.stream!
  return {
    name: kind.name,
    latencyAimMs: kind.aim_ms,
    timeoutMs: kind.timeout_ms ?? kind.deadline_ms,
    worth: kind.worth,
    lateWorth: kind.late_worth,
    priority: kind.priority,
    retries: kind.retries,
    stages: kind.stages.map(stage => ({
      service: stage.service,
      after: stage.after,
      resultBytes: stage.bytes,
      share: stage.share,
      pieces: stage.pieces ?? onePiece,
      workFactor: stage.work_x
    })),
    sharedParts: stream.chain.map(part => ({ tokens: part.tokens, count: part.things })),
    ownTokens: stream.prompt_tokens,
    events: stream.pieces
  }
}

function buildDay (day: Site['day'][number], site: Site, kinds: ReadonlySet<string>): ExperimentDay {
  const lengthMs = site.length_s * 1000
  const bursts = day.faults.filter(fault => fault.kind === 'burst')
  const troubles = day.faults.filter(fault => isStageTrouble(fault, site))
  return {
    name: day.name,
    lengthMs,
    traffic: day.traffic.map(source => buildSource(source, site, kinds)),
    bursts: bursts.map(burst => ({ atMs: burst.at * 1000, forMs: (burst.for_s ?? 0) * 1000, factor: burst.x ?? 1, kind: burst.class })),
    troubles: troubles.map((trouble): UpstreamTrouble => ({
      atMs: trouble.at * 1000,
      forMs: (trouble.for_s ?? 0) * 1000,
      service: trouble.service!,
      share: trouble.share ?? 0,
      slowdown: trouble.kind === 'srv_crash' ? Infinity : trouble.x ?? slowServerFactor
    })),
    notPlayed: [...new Set([...day.plan, ...day.faults]
      .filter(fault => fault.kind !== 'burst' && !isStageTrouble(fault, site))
      .map(fault => fault.kind))]
  }
}

/** Slowdown of an `srv_slow` fault that states no factor. */
const slowServerFactor = 3

function isStageTrouble ({ kind, service }: Site['day'][number]['faults'][number], site: Site): boolean {
  const isStage = site.services.some(({ name, stage }) => name === service && stage !== undefined)
  return isStage && (kind === 'srv_slow' || kind === 'srv_crash')
}

/** Builds a traffic source. The file's rate counts all kinds of request, but only kinds with a generation are simulated. */
function buildSource (source: Site['day'][number]['traffic'][number], site: Site, kinds: ReadonlySet<string>): TrafficSource {
  const totalWeight = Object.values(source.mix).reduce((sum, weight) => sum + weight, 0)
  const mix = Object.fromEntries(Object.entries(source.mix).filter(([name]) => kinds.has(name)))
  const simulatedWeight = Object.values(mix).reduce((sum, weight) => sum + weight, 0)
  return {
    failureDomain: source.zone,
    requestsPerSecond: source.per_s * site.thin * simulatedWeight / totalWeight,
    mix,
    wave: { swing: source.shape.swing, periodMs: source.shape.period_s * 1000, phase: source.shape.phase },
    clump: source.shape.clump
  }
}

import type { ExperimentDay } from './experimentDay.js'
import type { ExperimentDeployment } from './experimentDeployment.js'
import type { RequestKind } from './requestKind.js'
import type { StageServiceModel } from './stageServiceModel.js'
import type { TrafficSource } from './trafficSource.js'

const engines = {
  name: 'engines',
  slots: 32,
  prefillTokensPerMs: 50,
  firstEventMs: 15,
  stepMs: 3,
  stepMsPerRequest: 0.1,
  tokensPerEvent: 8,
  cacheTokens: 400_000
}
const noise = { share: 0.15, factor: 2, everyMs: 600 }
const linkMs = { betweenDomains: 1.2, toClients: 3 }

/** A long request whose prompt is enriched by a chain of three stages. */
const report: RequestKind = {
  name: 'report',
  latencyAimMs: 2500,
  timeoutMs: 15_000,
  worth: 4,
  lateWorth: 0.6,
  priority: 1,
  retries: 1,
  stages: [
    { service: 'archive', after: [], resultBytes: 8000, share: 1, pieces: { mean: 1, spread: 0, max: 1 }, workFactor: 0.3 },
    { service: 'roster', after: [0], resultBytes: 60_000, share: 1, pieces: { mean: 6, spread: 0, max: 6 }, workFactor: 1 },
    { service: 'notices', after: [1], resultBytes: 6000, share: 1, pieces: { mean: 6, spread: 0.4, max: 15 }, workFactor: 1 }
  ],
  sharedParts: [{ tokens: { mean: 500, spread: 0.4, max: 1200 }, count: 3 }, { tokens: { mean: 4500, spread: 0.6, max: 12_000 }, count: 200 }],
  ownTokens: { mean: 5000, spread: 1, max: 30_000 },
  events: { mean: 40, spread: 0.8, max: 120 }
}
/** A short question with the same stages. */
const question: RequestKind = {
  ...report,
  name: 'question',
  latencyAimMs: 2000,
  timeoutMs: 12_000,
  worth: 2,
  lateWorth: 0.3,
  priority: 0,
  sharedParts: [{ tokens: { mean: 120, spread: 0.4, max: 300 }, count: 20 }, { tokens: { mean: 80, spread: 0.6, max: 240 }, count: 300 }],
  ownTokens: { mean: 600, spread: 1, max: 3000 },
  events: { mean: 30, spread: 0.8, max: 100 }
}
/** A request for the label of a document that one stage has prepared. */
const label: RequestKind = {
  ...report,
  name: 'label',
  latencyAimMs: 1200,
  timeoutMs: 5000,
  worth: 0.5,
  lateWorth: 0.1,
  priority: 2,
  stages: [{ service: 'archive', after: [], resultBytes: 600_000, share: 0.7, pieces: { mean: 2.5, spread: 0.6, max: 8 }, workFactor: 1 }],
  sharedParts: [{ tokens: { mean: 300, spread: 0.4, max: 800 }, count: 20 }],
  ownTokens: { mean: 1500, spread: 1, max: 6000 },
  events: { mean: 3, spread: 0.5, max: 10 }
}

function buildDays (requestsPerSecond: number, domains: readonly string[]): readonly ExperimentDay[] {
  const traffic = domains.map((failureDomain, i): TrafficSource => ({
    failureDomain,
    requestsPerSecond: requestsPerSecond / domains.length,
    mix: { report: 3, question: 4, label: 4 },
    wave: { swing: 0.5, periodMs: 12_000, phase: i / 10 },
    clump: 3
  }))
  const calm: ExperimentDay = { name: 'calm', lengthMs: 30_000, traffic, bursts: [], troubles: [], notPlayed: [] }
  const bursts = [
    { atMs: 4000, forMs: 6000, factor: 3, kind: 'report' },
    { atMs: 14_000, forMs: 6000, factor: 3, kind: 'question' },
    { atMs: 24_000, forMs: 4000, factor: 2 }
  ]
  return [
    calm,
    { ...calm, name: 'crests', bursts },
    { ...calm, name: 'slow', troubles: [{ atMs: 8000, forMs: 6000, service: 'roster', share: 0.3, slowdown: 3 }] },
    { ...calm, name: 'crests-down', bursts, troubles: [{ atMs: 12_000, forMs: 5000, service: 'archive', share: 0.3, slowdown: Infinity }] }
  ]
}

/** Spreads a number of upstreams over the failure domains. */
function buildUpstreamCounts (count: number, domains: readonly string[]): Readonly<Record<string, number>> {
  return Object.fromEntries(domains.map((domain, i) => [domain, Math.floor((count + domains.length - 1 - i) / domains.length)]))
}

interface DeploymentSize {
  readonly hosts: number
  /** Upstreams of each stage service. */
  readonly stageUpstreams: number
  /** Pieces in a full call of the first stage; the second stage takes four times, the third three times as many. */
  readonly batchSize: number
  readonly engines: number
  readonly requestsPerSecond: number
}

/** Time that all pieces of a full call take together, in addition to the fixed time of the call. */
const fullCallPiecesMs = 200
/** Memory for results relative to the results of one full call. */
const resultMemoryFactor = 1.1

function buildDeployment (name: string, size: DeploymentSize, domains: readonly string[]): ExperimentDeployment {
  const upstreams = buildUpstreamCounts(size.stageUpstreams, domains)
  const buildService = (service: string, batchSize: number, resultBytesPerPiece: number): StageServiceModel => ({
    name: service,
    upstreams,
    spec: {
      concurrentCalls: 1,
      batchSize,
      callMs: 240,
      pieceMs: fullCallPiecesMs / batchSize,
      resultRoomBytes: batchSize * resultBytesPerPiece * resultMemoryFactor,
      resultLifetimeMs: 4000
    }
  })
  return {
    name,
    hosts: size.hosts,
    linkMs,
    noise,
    engines: { ...engines, upstreams: buildUpstreamCounts(size.engines, domains) },
    stageServices: [
      buildService('archive', size.batchSize, 1_000_000),
      buildService('roster', size.batchSize * 4, 100_000),
      buildService('notices', size.batchSize * 3, 10_000)
    ],
    kinds: [report, question, label],
    days: buildDays(size.requestsPerSecond, domains)
  }
}

/** The project's own deployments for experiments: a small one and a larger one. */
export const experimentDeployments: readonly ExperimentDeployment[] = [
  buildDeployment('kouign', { hosts: 4, stageUpstreams: 4, batchSize: 10, engines: 12, requestsPerSecond: 36 }, ['bzh-a', 'bzh-b', 'bzh-c']),
  buildDeployment('ferry', { hosts: 30, stageUpstreams: 12, batchSize: 16, engines: 60, requestsPerSecond: 170 }, ['quay-north', 'quay-east', 'quay-south', 'quay-west'])
]

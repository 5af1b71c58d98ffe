import { StageScheduler } from '../stageScheduler.js'
import type { ServiceSpec } from '../../model/serviceSpec.js'
import type { StageCall } from '../stageCall.js'
import type { StageJob } from '../stageJob.js'
import type { StagePieceResult } from '../../model/stagePieceResult.js'
import type { UpstreamEntry } from '../../model/upstreamEntry.js'

interface TestService {
  readonly name: string
  /** Failure domain of each upstream. */
  readonly domains: readonly string[]
  readonly batchSize?: number
  /** Memory for results of each upstream. */
  readonly resultRoomBytes?: number
}

/** Creates a scheduler for services that take 240 ms per call and 10 ms per piece, with helpers to drive it. */
export function createTestScheduler (services: readonly TestService[]) {
  const scheduler = new StageScheduler()
  const specs = new Map<string, ServiceSpec>(services.map(({ name, batchSize = 10, resultRoomBytes = 1e9 }) => [name, {
    name,
    connectionLimit: 100,
    healthPath: '/health',
    stage: { concurrentCalls: 1, batchSize, callMs: 240, pieceMs: 10, resultRoomBytes, resultLifetimeMs: 4000 }
  }]))
  /** Replaces the upstreams of every service by one in each of the listed failure domains. */
  const applyDomains = (listDomains: (name: string) => readonly string[]): void => {
    scheduler.applyUpstreams(specs, service => listDomains(service).map((failureDomain, i): UpstreamEntry => ({ id: `${service}-${i}`, service, address: '127.0.0.1:1', failureDomain, slots: 1, isDraining: false, version: 'v1', startedAtMs: 0 })))
  }
  applyDomains(name => services.find(service => service.name === name)?.domains ?? [])
  const answerCall = (call: StageCall, nowMs: number, results?: readonly StagePieceResult[]): void => {
    scheduler.onCallAnswered(call, results ?? call.pieces.map(piece => ({ handle: `${call.upstreamId}/${piece.requestId}.${piece.stageIndex}.${piece.pieceIndex}` })), nowMs)
  }
  const buildJob = (id: string, stages: ReadonlyArray<Partial<StageJob['stages'][number]>>, job: Partial<StageJob> = {}): StageJob => ({
    id,
    requestId: id,
    pieceKey: `key-${id}`,
    route: 'r',
    targetAtMs: 2000,
    deadlineAtMs: 10_000,
    priority: 1,
    preferredDomain: '',
    prompt: { tokens: 0, parts: [] },
    isDeclinable: false,
    ...job,
    stages: stages.map((stage, index) => ({ index, service: 'a', after: [], pieceCount: 1, resultBytes: 1000, ...stage }))
  })
  return { scheduler, answerCall, buildJob, applyDomains }
}

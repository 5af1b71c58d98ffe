import { buildRequests } from './buildRequests.js'
import { buildServiceSpecs } from './buildServiceSpecs.js'
import { computeCreditBound } from './computeCreditBound.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { createSilentLogger } from '../fakes/createSilentLogger.js'
import { createMemoryMetrics } from '../fakes/createMemoryMetrics.js'
import { EngineModel } from './engineModel.js'
import { EnginePlanner } from '../../src/node/gateway/engines/enginePlanner.js'
import { FirstEventTimes } from '../../src/node/gateway/engines/firstEventTimes.js'
import { listUpstreamEntries } from './listUpstreamEntries.js'
import { memoryCallCodec } from './memoryCallCodec.js'
import { RequestSimulation } from './requestSimulation.js'
import { RecentAnswers } from '../../src/node/gateway/stages/recentAnswers.js'
import { StageDispatcher } from '../../src/node/gateway/stages/stageDispatcher.js'
import { StageScheduler } from '../../src/node/gateway/stages/stageScheduler.js'
import { StageUpstreamModel } from './stageUpstreamModel.js'
import { StageWorkTable } from './stageWorkTable.js'
import { UpstreamNoise } from './upstreamNoise.js'
import { UpstreamState } from '../../src/node/gateway/upstreams/upstreamState.js'
import { VirtualClock } from '../fakes/virtualClock.js'
import type { ExperimentDay } from './experimentDay.js'
import type { ExperimentResult } from './experimentResult.js'
import type { ExperimentDeployment } from './experimentDeployment.js'
import type { RequestOutcome } from './requestOutcome.js'
import type { StageResult } from './stageResult.js'
import type { UpstreamEntry } from '../../src/node/gateway/model/upstreamEntry.js'
import type { UpstreamPool } from '../../src/node/gateway/upstreams/upstreamPool.js'

/** Interval at which queues are sampled. */
const sampleMs = 250

/** Simulates a day in virtual time: runs the product's own scheduling and engine placement against simulated upstreams and clients. */
export async function runExperiment (deployment: ExperimentDeployment, day: ExperimentDay, seed: number): Promise<ExperimentResult> {
  const clock = new VirtualClock()
  const random = createSeededRandom(seed * 31 + 7)
  const requests = buildRequests(deployment, day, seed)
  const results = new Map<string, StageResult>()
  const work = new StageWorkTable()
  for (const request of requests) work.addRequest(request)

  const createNoise = (service: string, position: number, count: number): UpstreamNoise =>
    new UpstreamNoise(
      deployment.noise,
      day.troubles.filter(trouble => trouble.service === service && position < Math.round(trouble.share * count)),
      createSeededRandom(random() * 2 ** 32)
    )
  const stageEntries = new Map(deployment.stageServices.map(service => [service.name, listUpstreamEntries(service.name, service.upstreams)]))
  const stages = new Map(deployment.stageServices.flatMap(service => stageEntries.get(service.name)!.map((entry, i, entries) => [entry.id, new StageUpstreamModel({
    id: entry.id,
    failureDomain: entry.failureDomain,
    service,
    work,
    noise: createNoise(service.name, i, entries.length),
    clock,
    random,
    linkMs: deployment.linkMs.betweenDomains,
    results
  })] as const)))
  const engineEntries = listUpstreamEntries(deployment.engines.name, deployment.engines.upstreams)
  const engines = new Map(engineEntries.map((entry, i) => [entry.id, {
    state: createEngineState(entry),
    model: new EngineModel(deployment.engines, createNoise(deployment.engines.name, i, engineEntries.length), clock, results)
  }]))

  const scheduler = new StageScheduler()
  const states = [...engines.values()].map(engine => engine.state)
  const dispatcher = new StageDispatcher({
    recentAnswers: new RecentAnswers(),
    scheduler,
    findPool: id => stages.get(id),
    findDemands: () => undefined,
    engines: new EnginePlanner(() => states),
    codec: memoryCallCodec,
    clock,
    timers: clock,
    logger: createSilentLogger(),
    metrics: createMemoryMetrics()
  })
  scheduler.applyUpstreams(buildServiceSpecs(deployment.stageServices), service => stageEntries.get(service) ?? [])

  const firstEventTimes = new FirstEventTimes()
  const planner = new EnginePlanner(() => states)
  const outcomes: RequestOutcome[] = []
  for (const request of requests) {
    const simulation = new RequestSimulation(request, { deployment, clock, dispatcher, engines, planner, firstEventTimes })
    simulation.run().then(outcome => { outcomes.push(outcome) }, (error: unknown) => { throw error })
  }
  const samples: Array<ExperimentResult['samples'][number]> = []
  const endMs = day.lengthMs + Math.max(...deployment.kinds.map(kind => kind.timeoutMs))
  while (clock.readMonotonicMs() < endMs && outcomes.length < requests.length) {
    await clock.runFor(sampleMs)
    const nowMs = clock.readMonotonicMs()
    for (const load of scheduler.listLoads(nowMs)) samples.push({ atMs: nowMs, service: load.service, queuedPieces: load.queuedPieces + load.latePieces })
  }
  dispatcher.stop()
  return {
    world: deployment.name,
    day,
    seed,
    outcomes,
    samples,
    services: deployment.stageServices.map(service => {
      const models = stageEntries.get(service.name)!.map(entry => stages.get(entry.id)!)
      return {
        name: service.name,
        upstreams: models.length,
        calls: models.reduce((sum, model) => sum + model.calls, 0),
        pieces: models.reduce((sum, model) => sum + model.pieces, 0),
        busyShare: models.reduce((sum, model) => sum + model.busyMs, 0) / models.length / day.lengthMs,
        inputsGone: models.reduce((sum, model) => sum + (model.failures.get('input-gone') ?? 0), 0),
        crossedBytes: models.reduce((sum, model) => sum + model.crossedBytes, 0),
        withoutRoom: models.reduce((sum, model) => sum + (model.failures.get('no-room') ?? 0), 0)
      }
    }),
    creditBound: computeCreditBound(deployment, requests),
    readTokens: [...engines.values()].reduce((sum, engine) => sum + engine.model.prefilledTokens, 0)
  }
}

/** Creates an engine state whose pool always has room, the only thing that the planner asks of the pool. */
function createEngineState (entry: UpstreamEntry): UpstreamState {
  return new UpstreamState(entry, { hasFreeConnection: () => true } as unknown as UpstreamPool)
}

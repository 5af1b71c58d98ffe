import { computeTargetLeftMs } from '../../src/node/gateway/ingress/computeTargetLeftMs.js'
import { engineConstants } from '../../src/node/gateway/engines/constants.js'
import { ingressConstants } from '../../src/node/gateway/ingress/constants.js'
import type { EngineModel } from './engineModel.js'
import type { EnginePlanner } from '../../src/node/gateway/engines/enginePlanner.js'
import type { FirstEventTimes } from '../../src/node/gateway/engines/firstEventTimes.js'
import type { ExperimentDeployment } from './experimentDeployment.js'
import type { RequestOutcome } from './requestOutcome.js'
import type { SimulatedRequest } from './simulatedRequest.js'
import type { StageDispatcher } from '../../src/node/gateway/stages/stageDispatcher.js'
import type { StageJob } from '../../src/node/gateway/stages/stageJob.js'
import type { StageOutcome } from '../../src/node/gateway/stages/stageOutcome.js'
import type { UpstreamState } from '../../src/node/gateway/upstreams/upstreamState.js'
import type { VirtualClock } from '../fakes/virtualClock.js'

/** Clients wait for the time of a Retry-After, but at most for this share of the time they have left. */
const retryAfterShare = 1 / 3

interface SimulationDependencies {
  readonly deployment: ExperimentDeployment
  readonly clock: VirtualClock
  readonly dispatcher: StageDispatcher
  readonly engines: ReadonlyMap<string, { readonly state: UpstreamState, readonly model: EngineModel }>
  /** Chooses the engine of requests without stages, as each host does without the dispatcher. */
  readonly planner: EnginePlanner
  readonly firstEventTimes: FirstEventTimes
}

/** Simulates one request of a client and the host that serves it: stages, generation, and retries after refusals. */
export class RequestSimulation {
  private refusals = 0
  private stagesMs: number | undefined
  private readonly controller = new AbortController()

  constructor (private readonly request: SimulatedRequest, private readonly dependencies: SimulationDependencies) {}

  async run (): Promise<RequestOutcome> {
    const { clock } = this.dependencies
    const { request } = this
    await clock.wait(request.sentAtMs - clock.readMonotonicMs())
    const cancelClientTimeout = clock.schedule(request.clientTimeoutMs, () => { this.controller.abort() })
    for (let attempt = 0; attempt <= request.kind.retries; attempt++) {
      const result = await this.runAttempt(attempt)
      if (typeof result === 'object') {
        cancelClientTimeout()
        return result
      }
      if (this.controller.signal.aborted) break
      this.refusals++
      await clock.wait(Math.min(result, this.computeTimeLeftMs() * retryAfterShare))
    }
    cancelClientTimeout()
    return { request, type: this.controller.signal.aborted ? 'failed' : 'refused', refusals: this.refusals }
  }

  /** Resolves to the outcome, or after a refusal to the time until the next attempt in milliseconds. */
  private async runAttempt (attempt: number): Promise<RequestOutcome | number> {
    const { clock, dispatcher, firstEventTimes, deployment } = this.dependencies
    const { request } = this
    await clock.wait(deployment.linkMs.toClients)
    const reserveMs = firstEventTimes.getReserveMs(request.kind.name)
    const job = this.buildJob(attempt, reserveMs)
    const startedAtMs = clock.readMonotonicMs()
    await clock.wait(deployment.linkMs.betweenDomains)
    const outcome = job.stages.length === 0 ? this.placeWithoutStages() : await dispatcher.runJob(job, this.controller.signal)
    await clock.wait(deployment.linkMs.betweenDomains)
    this.stagesMs = clock.readMonotonicMs() - startedAtMs
    if (outcome.type === 'refused') return outcome.retryAfterMs
    if (outcome.type !== 'completed') return ingressConstants.busyRetryAfterMs
    return await this.runEngine(job, outcome)
  }

  private async runEngine (job: StageJob, outcome: StageOutcome & { readonly type: 'completed' }): Promise<RequestOutcome | number> {
    const { clock, dispatcher, engines, firstEventTimes, deployment } = this.dependencies
    const engine = engines.get(outcome.engineId ?? '')
    if (engine === undefined) return ingressConstants.busyRetryAfterMs
    const { request } = this
    const sentAtMs = clock.readMonotonicMs()
    engine.state.inFlight++
    const release = (): void => { dispatcher.releaseJob(job.id) }
    const cancelRelease = clock.schedule(engineConstants.inputFetchMs + deployment.linkMs.betweenDomains, release)
    const result = await new Promise<RequestOutcome | number>(resolve => {
      engine.model.addRequest({
        prompt: request.prompt,
        events: request.events,
        inputs: outcome.outputs.flatMap(output => output.handles),
        onRefused: () => { resolve(ingressConstants.busyRetryAfterMs) },
        onFirstEvent: () => {
          const nowMs = clock.readMonotonicMs()
          firstEventTimes.observe(request.kind.name, nowMs - sentAtMs)
          engine.state.onSuccess(nowMs - sentAtMs, nowMs)
          resolve(this.buildOutcome(nowMs + deployment.linkMs.toClients - request.sentAtMs))
        },
        onEnd: () => { engine.state.inFlight-- }
      })
    })
    cancelRelease()
    clock.schedule(deployment.linkMs.betweenDomains, release)
    return result
  }

  private placeWithoutStages (): StageOutcome {
    const { clock, planner, deployment } = this.dependencies
    const demand = { service: deployment.engines.name, prompt: this.request.prompt, inputs: { domain: '', bytes: 0 }, excludedIds: new Set<string>() }
    return { type: 'completed', outputs: [], outputDomain: '', engineId: planner.placeRequest(demand, clock.readMonotonicMs())?.engine.entry.id }
  }

  private buildOutcome (firstEventMs: number): RequestOutcome {
    const { request, stagesMs, refusals } = this
    if (firstEventMs > request.clientTimeoutMs) return { request, type: 'failed', stagesMs, refusals }
    return { request, type: firstEventMs <= request.kind.latencyAimMs ? 'on-time' : 'late', firstEventMs, stagesMs, refusals }
  }

  private buildJob (attempt: number, reserveMs: number): StageJob {
    const { request } = this
    const { kind } = request
    const nowMs = this.dependencies.clock.readMonotonicMs()
    return {
      id: `${request.id}:${attempt}`,
      requestId: request.id,
      pieceKey: '',
      route: kind.name,
      stages: kind.stages
        .map(({ service, after, resultBytes }, index) => ({ index, service, after, resultBytes, pieceCount: request.pieceCounts[index]! }))
        .filter(stage => stage.pieceCount > 0),
      targetAtMs: nowMs + computeTargetLeftMs(kind, { timeLeftMs: this.computeTimeLeftMs() }) - reserveMs,
      deadlineAtMs: request.sentAtMs + request.clientTimeoutMs - reserveMs,
      priority: kind.priority,
      preferredDomain: '',
      engineService: this.dependencies.deployment.engines.name,
      prompt: request.prompt,
      // The experiment plays one scheduling cell.
      isDeclinable: false
    }
  }

  private computeTimeLeftMs (): number {
    return this.request.sentAtMs + this.request.clientTimeoutMs - this.dependencies.clock.readMonotonicMs()
  }
}

import { createSeededRandom } from '../../../../shared/createSeededRandom.js'
import { SimulatedCache } from './simulatedCache.js'
import { UpstreamState } from '../../upstreams/upstreamState.js'
import type { HostChoice } from './hostChoice.js'
import type { SimulatedEngine } from './simulatedEngine.js'
import type { SimulatedOutcome } from './simulatedOutcome.js'
import type { SimulatedRequest } from './simulatedRequest.js'
import type { UpstreamPool } from '../../upstreams/upstreamPool.js'

interface SimulationOptions {
  readonly engines: readonly SimulatedEngine[]
  readonly hosts: number
  readonly lengthMs: number
  /** Requests a second of all hosts together. */
  readonly requestsPerSecond: number | ((nowMs: number) => number)
  readonly seed: number
  readonly sharedParts?: number
  /** Tokens that the cache of an engine holds, with the parts of single requests; without a limit by default. */
  readonly cacheTokens?: number
  /** Whether a host measures a request; it places all, as the host that schedules stages does. All are measured by default. */
  readonly isMeasured?: (request: SimulatedRequest) => boolean
  /** Changes a request before it is sent for the first time. */
  readonly adaptRequest?: (request: SimulatedRequest) => SimulatedRequest
  readonly createChoice: (states: readonly UpstreamState[]) => HostChoice
}

const tokensPerMs = 60
const fixedMs = 25
const stepMs = 12
const stepMsPerRequest = 0.5
const sharedTokens = 4000
/** Time for which a client tries again. */
const patienceMs = 6000

/**
 * Simulates engines that read prompts one after another and then send events at a pace that depends on the requests in
 * progress. Deterministic for a seed; uses no clock, socket or timer.
 */
export function runEngineSimulation (options: SimulationOptions): readonly SimulatedOutcome[] {
  const random = createSeededRandom(options.seed)
  const { cacheTokens = Infinity } = options
  const models = new Map(options.engines.map(engine => {
    return [engine.id, { engine, freeAtMs: 0, inProgress: 0, cache: new SimulatedCache(cacheTokens) }]
  }))
  /** Shared parts that any engine has read. */
  const partsRead = new Set<string>()
  const hosts = Array.from({ length: options.hosts }, () => {
    const states = options.engines.map(({ id }) => createState(id))
    return options.createChoice(states)
  })
  const outcomes: SimulatedOutcome[] = []
  const queue: Array<{ readonly atMs: number, readonly run: () => void }> = []
  const schedule = (atMs: number, run: () => void): void => {
    let low = 0
    let high = queue.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (queue[middle]!.atMs > atMs) low = middle + 1
      else high = middle
    }
    queue.splice(low, 0, { atMs, run })
  }
  const runRequest = (request: SimulatedRequest): void => {
    const { atMs } = request
    const host = hosts[request.hostIndex]!
    const placement = host.choose(request, atMs)
    if (placement === undefined) return
    if ('retryAfterMs' in placement) {
      const refusals = request.refusals + 1
      const retryAtMs = atMs + placement.retryAfterMs
      // The client may reach another host.
      const hostIndex = (request.hostIndex + 1) % options.hosts
      if (retryAtMs - request.firstAtMs < patienceMs) {
        schedule(retryAtMs, () => { runRequest({ ...request, atMs: retryAtMs, hostIndex, refusals }) })
      }
      return
    }
    const { engine: state, readTokens, backlogMs } = placement
    const model = models.get(state.entry.id)!
    const { sharedPart } = request
    const sharedReadTokens = sharedPart === '' ? sharedTokens : model.cache.readPart(sharedPart, sharedTokens)
    model.cache.readPart(`own-${atMs}`, request.tokens - sharedTokens)
    const tokensReadAgain = partsRead.has(sharedPart) ? sharedReadTokens : 0
    if (sharedPart !== '') partsRead.add(sharedPart)
    const isMeasured = options.isMeasured?.(request) ?? true
    const inProgress = state.inFlight
    const sample = { engineId: state.entry.id, readTokens, backlogMs, inProgress }
    if (isMeasured) {
      host.onSent(request, sample, atMs)
      state.inFlight++
    }
    model.inProgress++
    const factor = model.engine.computeFactor(atMs, model.inProgress)
    const modelTokens = request.tokens - sharedTokens + sharedReadTokens
    const readMs = modelTokens / tokensPerMs * factor * (0.9 + 0.2 * random())
    model.freeAtMs = Math.max(model.freeAtMs, atMs) + readMs
    const firstEventAtMs = model.freeAtMs + fixedMs * factor
    schedule(firstEventAtMs, () => {
      const elapsedMs = firstEventAtMs - atMs
      outcomes.push({ ...request, engineId: state.entry.id, firstEventMs: elapsedMs, tokensReadAgain })
      if (isMeasured) {
        state.onSuccess(elapsedMs, firstEventAtMs)
        host.onFirstEvent(request, { ...sample, elapsedMs }, firstEventAtMs)
      }
      const paceMs = (stepMs + stepMsPerRequest * model.inProgress) * model.engine.computeFactor(firstEventAtMs, model.inProgress)
      const endsAtMs = firstEventAtMs + paceMs * request.events
      schedule(endsAtMs, () => {
        model.inProgress--
        if (!isMeasured) return
        host.onEnd({
          engineId: state.entry.id,
          paceMs,
          eventCount: request.events,
          inProgress: (inProgress + state.inFlight) / 2
        }, endsAtMs)
        state.inFlight--
      })
    })
  }
  const { requestsPerSecond, adaptRequest = (request: SimulatedRequest) => request } = options
  for (let atMs = 0, index = 0; atMs < options.lengthMs; index++) {
    const rate = typeof requestsPerSecond === 'number' ? requestsPerSecond : requestsPerSecond(atMs)
    atMs += -Math.log(1 - random()) * 1000 / rate
    const request = adaptRequest({
      atMs,
      hostIndex: Math.floor(random() * options.hosts),
      tokens: sharedTokens + Math.round(1000 + 7000 * random()),
      events: 40 + Math.round(120 * random()),
      sharedPart: options.sharedParts === undefined ? '' : `part-${Math.floor(random() * options.sharedParts)}`,
      sharedTokens,
      index,
      refusals: 0,
      firstAtMs: atMs
    })
    schedule(atMs, () => { runRequest(request) })
  }
  for (let next = queue.pop(); next !== undefined; next = queue.pop()) next.run()
  return outcomes
}

function createState (id: string): UpstreamState {
  const entry = { id, service: 'llm', address: '', failureDomain: 'x', version: '', slots: 32, isDraining: false, startedAtMs: 0 }
  return new UpstreamState(entry, { hasFreeConnection: () => true } as unknown as UpstreamPool)
}

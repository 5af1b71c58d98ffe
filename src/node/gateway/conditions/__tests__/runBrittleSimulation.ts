import { BrittleCondition } from '../brittleCondition.js'
import { BrittleShares } from '../brittleShares.js'
import { createSeededRandom } from '../../../../shared/createSeededRandom.js'
import { decodeUpstreamResponse } from '../../../platform/decodeUpstreamResponse.js'
import { silentLogger } from '../../../../../playground/fakes/silentLogger.js'
import { CountingMetrics } from '../../../../../playground/fakes/countingMetrics.js'
import { UpstreamState } from '../../upstreams/upstreamState.js'

interface SimulationOptions {
  readonly hostCount: number
  readonly upstreamCount: number
  readonly hasCondition: boolean
  readonly seed: number
  /** Hosts that a host knows; all by default. */
  readonly listKnown?: (index: number, nowMs: number) => readonly string[]
  /** Time at which a host starts; before the simulation by default. */
  readonly getStartMs?: (index: number) => number
  readonly statesLoad?: boolean
  readonly slots?: number
  readonly durationMs?: number
  readonly maxRejections?: number
  readonly hasHealthReports?: boolean
}

interface Request { readonly host: Host, readonly upstream: Upstream, readonly attempt: number }

interface Host {
  readonly startMs: number
  readonly condition: BrittleCondition
  readonly states: readonly UpstreamState[]
  readonly inFlight: number[]
}

class Upstream {
  running: Array<{ readonly request: Request, readonly endMs: number }> = []
  queue: Request[] = []
  rejectedAtMs: number[] = []
  downUntilMs = 0
  terminations = 0
  constructor (readonly index: number) {}
}

const [beginMs, windowMs, endMs, lastMs, stepMs] = [8000, 3000, 28_000, 36_000, 2]
const head = decodeUpstreamResponse(200, {})

/**
 * Plays a service under twice the load it takes: from `beginMs` to `endMs` its upstreams report that they are brittle,
 * their queues shrink from 8 to 2 after `windowMs`, and one that then rejects more than `maxRejections` requests in a
 * second ends for 4 s. `capacityShares` are the requests served in and after the period, as parts of the capacity.
 */
export function runBrittleSimulation (options: SimulationOptions) {
  const { hostCount, upstreamCount, hasCondition, seed, getStartMs = () => -60_000, statesLoad = false } = options
  const { slots = 4, durationMs = 300, maxRejections = 3, hasHealthReports = true } = options
  const random = createSeededRandom(seed)
  const ids = Array.from({ length: hostCount }, (_, i) => `host-${i}`)
  const listKnown = options.listKnown ?? (() => ids)
  const upstreams = Array.from({ length: upstreamCount }, (_, i) => new Upstream(i))
  let nowMs = 0
  const checks: Array<{ readonly atMs: number, readonly check: () => void }> = []
  const hosts = ids.map((id, i): Host => {
    const shares = new BrittleShares(id, () => listKnown(i, nowMs))
    shares.observeReadiness(true, getStartMs(i))
    const condition = new BrittleCondition({
      logger: silentLogger,
      metrics: new CountingMetrics(),
      random,
      isShared: () => true,
      computePlaces: ({ entry }) => shares.computePlaces(entry.id, slots, maxRejections, nowMs),
      checkHealth: () => {
        const brittleLimit = isReported() && hasHealthReports ? maxRejections : undefined
        const up = upstreams.filter(({ downUntilMs }) => downUntilMs <= nowMs)
        const checked = up[Math.floor(random() * up.length)]
        if (checked === undefined) return
        const check = (): void => { condition.observeCheck(states[checked.index]!, { ...head, brittleLimit }, nowMs) }
        checks.push({ atMs: nowMs + 2, check })
      }
    })
    const states = upstreams.map(({ index }) => {
      const entry = { service: 'shop', address: '', failureDomain: 'a', version: '', isDraining: false, startedAtMs: 1 }
      return new UpstreamState({ ...entry, id: `i-${index}`, slots }, undefined as never)
    })
    return { startMs: getStartMs(i), condition, states, inFlight: upstreams.map(() => 0) }
  })
  const served = { inPeriod: 0, after: 0 }
  const isReported = (): boolean => nowMs >= beginMs && nowMs < endMs
  const end = ({ host, upstream }: Request, status: number | undefined): void => {
    const state = host.states[upstream.index]!
    const waiting = upstream.queue.length
    const load = statesLoad ? { running: upstream.running.length, waiting, slots, slowdown: 1 } : undefined
    const brittleLimit = isReported() ? maxRejections : undefined
    if (status !== undefined) host.condition.observeHead(state, { ...head, status, load, brittleLimit }, nowMs)
    host.inFlight[upstream.index]!--
    host.condition.recordEnded(state, nowMs)
    if (status === 200 && nowMs >= beginMs + windowMs && nowMs < endMs) served.inPeriod++
    if (status === 200 && nowMs >= endMs + 1000) served.after++
  }
  const terminate = (upstream: Upstream): void => {
    const { running, queue } = upstream
    for (const request of [...running.map(({ request }) => request), ...queue]) end(request, undefined)
    upstream.terminations++
    Object.assign(upstream, { downUntilMs: nowMs + 4000, running: [], queue: [], rejectedAtMs: [] })
  }
  const run = (request: Request): void => {
    request.upstream.running.push({ request, endMs: nowMs + durationMs * (0.5 + random()) })
  }
  const receive = (request: Request): void => {
    const { upstream } = request
    if (upstream.downUntilMs > nowMs) return end(request, undefined)
    const isFragile = isReported() && nowMs >= beginMs + windowMs
    const queueLimit = isFragile ? 2 : 8
    if (upstream.running.length < slots) run(request)
    else if (upstream.queue.length < queueLimit) upstream.queue.push(request)
    else {
      end(request, random() < 0.5 ? 503 : 429)
      upstream.rejectedAtMs = [...upstream.rejectedAtMs.filter(atMs => atMs > nowMs - 1000), nowMs]
      if (isFragile && upstream.rejectedAtMs.length > maxRejections) return terminate(upstream)
      if (request.attempt < 2 && !hasCondition) send(request.host, request.attempt + 1)
    }
  }
  const arriving: Array<{ readonly atMs: number, readonly request: Request }> = []
  function send (host: Host, attempt: number): void {
    const open = upstreams.filter(({ index }) => {
      return !hasCondition || host.condition.findBlock(host.states[index]!, nowMs) === undefined
    })
    const least = Math.min(...open.map(({ index }) => host.inFlight[index]!))
    const candidates = open.filter(({ index }) => host.inFlight[index] === least)
    const upstream = candidates[Math.floor(random() * candidates.length)]
    if (upstream === undefined) return
    host.inFlight[upstream.index]!++
    host.condition.recordSent(host.states[upstream.index]!, nowMs)
    arriving.push({ atMs: nowMs + 2, request: { host, upstream, attempt } })
  }
  const arrivalsPerStep = 2 * upstreamCount * slots / durationMs * stepMs
  for (let due = 0; nowMs < lastMs; nowMs += stepMs) {
    for (const upstream of upstreams) {
      const done = upstream.running.filter(({ endMs }) => endMs <= nowMs)
      if (done.length === 0) continue
      upstream.running = upstream.running.filter(({ endMs }) => endMs > nowMs)
      for (const request of upstream.queue.splice(0, slots - upstream.running.length)) {
        run(request)
      }
      for (const { request } of done) end(request, 200)
    }
    while (checks[0] !== undefined && checks[0].atMs <= nowMs) checks.shift()!.check()
    while (arriving[0] !== undefined && arriving[0].atMs <= nowMs) receive(arriving.shift()!.request)
    const started = hosts.filter(host => host.startMs <= nowMs)
    due += arrivalsPerStep * 2 * random()
    for (; due >= 1; due--) send(started[Math.floor(random() * started.length)]!, 1)
  }
  const perMs = upstreamCount * slots / durationMs
  const inPeriod = served.inPeriod / (perMs * (endMs - beginMs - windowMs))
  const after = served.after / (perMs * (lastMs - endMs - 1000))
  const terminations = upstreams.reduce((sum, upstream) => sum + upstream.terminations, 0)
  return { terminations, capacityShares: { inPeriod, after } }
}

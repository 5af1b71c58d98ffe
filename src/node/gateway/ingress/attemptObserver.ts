import type { AttemptResult } from './attemptResult.js'
import type { ChosenUpstream } from './chosenUpstream.js'
import type { RequestRunDependencies } from './requestRunDependencies.js'
import type { Route } from '../model/route.js'
import type { ServiceCapacity } from '../capacity/serviceCapacity.js'

type Dependencies = Pick<RequestRunDependencies, 'capacities' | 'firstEventTimes' | 'clock' | 'logger' | 'metrics'>

/** Measures one attempt at an upstream, and updates what is known of the upstream with it. */
export class AttemptObserver {
  /** Whether an event was forwarded. */
  hasEvents = false
  /** Host that relayed the attempt. */
  relayedBy: string | undefined
  readonly sentAtMs: number
  private readonly inProgress: number
  /** Undefined for upstreams that are not engines. */
  private readonly capacity: ServiceCapacity | undefined
  private firstEventAtMs = 0
  private lastEventAtMs = 0
  private eventCount = 0

  constructor (
    private readonly chosen: ChosenUpstream,
    private readonly route: Pick<Route, 'name' | 'callKind'>,
    private readonly dependencies: Dependencies
  ) {
    const { upstream } = chosen
    this.sentAtMs = dependencies.clock.readMonotonicMs()
    this.inProgress = upstream.inFlight
    this.capacity = route.callKind === 'stream' ? dependencies.capacities.getService(upstream.entry.service) : undefined
    this.capacity?.addWaiting(this, this.buildSample(), this.sentAtMs)
    upstream.inFlight++
  }

  /** Observes the arrival of events; returns whether they are the first. */
  onEvents (): boolean {
    const nowMs = this.dependencies.clock.readMonotonicMs()
    this.eventCount++
    this.lastEventAtMs = nowMs
    if (this.hasEvents) return false
    this.hasEvents = true
    this.firstEventAtMs = nowMs
    const elapsedMs = nowMs - this.sentAtMs
    this.chosen.upstream.onSuccess(elapsedMs, nowMs)
    this.dependencies.firstEventTimes.observe(this.route.name, elapsedMs)
    this.capacity?.removeWaiting(this, this.engineId, true, nowMs)
    // The way by another host takes time that is not the engine's.
    if (this.relayedBy === undefined) {
      this.capacity?.observeFirstEvent({ ...this.buildSample(), elapsedMs }, nowMs)
      this.chosen.reportFirstEvent?.({ elapsedMs, hasBegun: true })
    }
    this.recordCondition(nowMs)
    return true
  }

  /** Updates the durations and failures of the upstream with the result of the attempt. */
  onEnd (result: AttemptResult): void {
    const { clock, logger } = this.dependencies
    const { upstream } = this.chosen
    const nowMs = clock.readMonotonicMs()
    upstream.inFlight--
    this.observeCapacity(result, nowMs)
    if (result.type === 'cancelled') return
    if ((result.type === 'uncertain' || result.type === 'not-run') && result.isRelayLost === true) return
    if (result.type === 'not-run' && result.isHeldBack === true) return
    const hasFailed = result.type === 'uncertain' ||
      (result.type === 'not-run' && !result.areInputsGone) ||
      (result.type === 'answer' && result.head.status >= 500)
    if (!hasFailed) {
      if (result.type === 'answer') upstream.onSuccess(nowMs - this.sentAtMs, nowMs)
    } else if (upstream.onFailure(nowMs)) {
      logger.recordWarning('upstream ejected', {
        upstream: upstream.entry.id,
        service: upstream.entry.service,
        untilMs: Math.round(upstream.ejectedUntilMs - nowMs),
        reason: result.type
      })
    }
  }

  private get engineId (): string {
    return this.chosen.upstream.entry.id
  }

  private observeCapacity (result: AttemptResult, nowMs: number): void {
    const { capacity, engineId, eventCount } = this
    if (capacity === undefined) return
    capacity.removeWaiting(this, engineId, false, nowMs)
    if (this.relayedBy !== undefined) return
    if (!this.hasEvents) {
      if (result.type === 'cancelled' || result.type === 'uncertain') {
        const elapsedMs = nowMs - this.sentAtMs
        capacity.observeMissingEvent({ ...this.buildSample(), elapsedMs }, nowMs)
        this.chosen.reportFirstEvent?.({ elapsedMs, hasBegun: false })
      }
      return
    }
    const inProgress = (this.inProgress + this.chosen.upstream.inFlight) / 2
    const paceMs = (this.lastEventAtMs - this.firstEventAtMs) / Math.max(eventCount - 1, 1)
    if (result.type === 'streamed') capacity.observePace({ engineId, paceMs, eventCount, inProgress }, nowMs)
    this.recordCondition(nowMs)
  }

  private recordCondition (nowMs: number): void {
    const condition = this.capacity?.updateCondition(this.engineId, nowMs)
    if (condition === undefined) return
    const { id, service } = this.chosen.upstream.entry
    this.dependencies.metrics.addCount('engine_condition_changes', { service, condition })
    const ratios = this.capacity!.describeRatios(id, nowMs)
    this.dependencies.logger.recordInfo('engine speed changed', { upstream: id, service, condition, ...ratios })
  }

  private buildSample (): { readonly engineId: string, readonly readTokens?: number, readonly backlogMs: number, readonly inProgress: number } {
    const { readTokens, backlogMs } = this.chosen
    return { engineId: this.engineId, readTokens, backlogMs, inProgress: this.inProgress }
  }
}

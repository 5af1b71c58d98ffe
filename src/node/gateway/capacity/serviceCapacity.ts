import { capacityConstants } from './constants.js'
import { decideEngineCondition } from './decideEngineCondition.js'
import { engineConstants } from '../engines/constants.js'
import { Figure } from './figure.js'
import { LatencyEstimate } from '../../routing/latencyEstimate.js'
import { ReadBacklog } from './readBacklog.js'
import { WaitEstimate } from './waitEstimate.js'
import type { EngineCondition } from './engineCondition.js'
import type { FirstEventSample } from './firstEventSample.js'
import type { PaceSample } from './paceSample.js'

/** An id that no engine has: the figures of one that is not known are those of the service. */
const unknownEngineId = ''

/**
 * Learns how fast each engine of a service reads prompts and sends events, from one host's own requests: about one a
 * second for each engine with 87 hosts. Engines differ in speed by a factor of two, become slow for seconds or for
 * good, or only under the load that they are given. Without samples, all figures are the stated ones.
 */
export class ServiceCapacity {
  private readonly readTime = new Figure(capacityConstants.readUnitTokens / engineConstants.prefillTokensPerMs)
  private readonly pace = new Figure(capacityConstants.initialPaceMs)
  /**
   * Time to the first event of requests with short reads, which is nearly independent of the engine's speed of reading.
   */
  private readonly fixedTime = new LatencyEstimate(0)
  private readonly backlog = new ReadBacklog()
  private readonly waits = new Map<string, WaitEstimate>()
  private readonly conditions = new Map<string, EngineCondition>()

  /** Time that an engine takes to read prompt tokens with a number of this host's requests in progress there. */
  computeReadMs (engineId: string, tokens: number, inProgress: number, nowMs: number): number {
    return Math.max(tokens, 0) / capacityConstants.readUnitTokens * this.readTime.computeMs(engineId, inProgress, nowMs)
  }

  /** The same at an engine of the median speed. */
  computeMedianReadMs (tokens: number): number {
    return Math.max(tokens, 0) / capacityConstants.readUnitTokens * this.readTime.computeMedianMs()
  }

  /** Time of reading relative to the median of the service. */
  computeReadRatio (engineId: string, inProgress: number, nowMs: number): number {
    return this.readTime.computeRatio(engineId, inProgress, nowMs)
  }

  /** Number of measured reads of an engine, of which older ones count less. */
  countReadSamples (engineId: string, nowMs: number): number {
    return this.readTime.countSamples(engineId, nowMs)
  }

  /** Time between events relative to the median of the service. */
  computePaceRatio (engineId: string, inProgress: number, nowMs: number): number {
    return this.pace.computeRatio(engineId, inProgress, nowMs)
  }

  /** Time that a request waits at an engine before its prompt is read; 0 while it is unknown. */
  computeWaitMs (engineId: string, nowMs: number): number {
    return this.readTime.isKnown ? this.waits.get(engineId)?.computeWaitMs(nowMs) ?? 0 : 0
  }

  /** The same; undefined while it is unknown. */
  findWaitMs (engineId: string, nowMs: number): number | undefined {
    if (!this.readTime.isKnown || this.waits.get(engineId)?.findWaitMs(nowMs) === undefined) return undefined
    return this.computeWaitMs(engineId, nowMs)
  }

  /**
   * Time that a request of this host would wait at the engines together before its prompt is read; 0 while nothing is
   * learned.
   */
  computeServiceWaitMs (meanTokens: number, nowMs: number): number {
    if (!this.readTime.isKnown) return 0
    const readMs = this.computeServiceReadMs(meanTokens, nowMs) + this.fixedTime.getBaseMs()
    return Math.max(this.backlog.computeReadMs(nowMs) - readMs, 0)
  }

  /** Time that an engine of the service usually takes to read prompt tokens. */
  computeServiceReadMs (tokens: number, nowMs: number): number {
    return this.computeReadMs(unknownEngineId, tokens, 0, nowMs)
  }

  /** Records that a request was sent to an engine. `request` identifies it until its first event or its end. */
  addWaiting (
    request: object,
    { engineId, readTokens = 0, inProgress }: Omit<FirstEventSample, 'elapsedMs'>,
    nowMs: number
  ): void {
    const readMs = this.computeReadMs(engineId, readTokens, inProgress, nowMs)
    this.backlog.addRequest(request, readTokens, nowMs)
    this.getWait(engineId).addWaiting(request, nowMs + readMs + this.fixedTime.getBaseMs())
  }

  /** Records that a request has its first event (`hasBegun`) or was given up. */
  removeWaiting (request: object, engineId: string, hasBegun: boolean, nowMs: number): void {
    this.backlog.removeRequest(request, hasBegun, nowMs)
    this.waits.get(engineId)?.removeWaiting(request, hasBegun)
  }

  observeFirstEvent (sample: FirstEventSample, nowMs: number): void {
    const { engineId, elapsedMs, readTokens, backlogMs, inProgress } = sample
    if (readTokens === undefined) return
    this.observeWait(sample, nowMs)
    if (readTokens < capacityConstants.minReadTokens) return this.fixedTime.observeBase(elapsedMs, nowMs)
    const readMs = elapsedMs - this.fixedTime.getBaseMs()
    // Such a read shows a prompt that the engine had in its cache.
    if (readMs < readTokens / capacityConstants.maxTokensPerMs) return
    // The backlog was computed with the estimate that is to be corrected. Both get their share of the time, since a
    // backlog that is estimated too long would otherwise leave no time for the read, and never be corrected.
    const expectedMs = this.computeReadMs(engineId, readTokens, inProgress, nowMs)
    const ownMs = readMs * expectedMs / (expectedMs + backlogMs)
    // Backlogs lag the estimates by seconds. With their samples, the usual duration of a busy service would fall by a
    // factor of ten in this time, and rise again only by a few percent a second.
    const isExact = backlogMs <= expectedMs
    this.readTime.observe(engineId, ownMs / readTokens * capacityConstants.readUnitTokens, inProgress, nowMs, isExact)
  }

  /** Observes that a request was given up before its first event. This shows only that the wait was not shorter. */
  observeMissingEvent (sample: FirstEventSample, nowMs: number): void {
    const { engineId, elapsedMs, readTokens } = sample
    if (readTokens === undefined) return
    const readMs = this.computeReadMs(engineId, readTokens, sample.inProgress, nowMs)
    const waitMs = elapsedMs - readMs - this.fixedTime.getBaseMs()
    if (waitMs > (this.waits.get(engineId)?.findWaitMs(nowMs) ?? 0)) this.observeWait(sample, nowMs)
  }

  observePace ({ engineId, paceMs, eventCount, inProgress }: PaceSample, nowMs: number): void {
    if (eventCount < capacityConstants.minPaceEvents) return
    this.pace.observe(engineId, paceMs, inProgress, nowMs)
  }

  /** Updates the condition of an engine; returns it when it has changed. */
  updateCondition (engineId: string, nowMs: number): EngineCondition | undefined {
    const before = this.conditions.get(engineId) ?? 'usual'
    const usual = { quiet: 1, busy: 1 }
    const read = this.readTime.findRatios(engineId, nowMs) ?? usual
    const pace = this.pace.findRatios(engineId, nowMs) ?? usual
    const condition = decideEngineCondition(before, {
      quiet: Math.max(read.quiet, pace.quiet),
      busy: Math.max(read.busy, pace.busy)
    })
    if (condition === before) return undefined
    this.conditions.set(engineId, condition)
    return condition
  }

  /** Ratios of an engine's durations to the median of the service, for logs. */
  describeRatios (engineId: string, nowMs: number): Readonly<Record<string, number>> {
    const read = this.readTime.findRatios(engineId, nowMs)
    const pace = this.pace.findRatios(engineId, nowMs)
    const fields = {
      readRatio: read?.quiet,
      busyReadRatio: read?.busy,
      paceRatio: pace?.quiet,
      busyPaceRatio: pace?.busy
    }
    return Object.fromEntries(Object.entries(fields).flatMap(([name, ratio]) => {
      return ratio === undefined ? [] : [[name, Math.round(ratio * 100) / 100]]
    }))
  }

  removeEngine (engineId: string): void {
    this.readTime.removeEngine(engineId)
    this.pace.removeEngine(engineId)
    this.waits.delete(engineId)
    this.conditions.delete(engineId)
  }

  private observeWait ({ engineId, elapsedMs, readTokens, inProgress }: FirstEventSample, nowMs: number): void {
    const readMs = this.computeReadMs(engineId, readTokens!, inProgress, nowMs)
    this.getWait(engineId).observe(Math.max(elapsedMs - readMs - this.fixedTime.getBaseMs(), 0), nowMs)
  }

  private getWait (engineId: string): WaitEstimate {
    const known = this.waits.get(engineId)
    if (known !== undefined) return known
    const wait = new WaitEstimate()
    this.waits.set(engineId, wait)
    return wait
  }
}

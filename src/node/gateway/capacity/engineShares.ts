import { capacityConstants } from './constants.js'
import { computeAdmittedShare } from './computeAdmittedShare.js'
import { computeFillLevels } from './computeFillLevels.js'
import { DemandRecord } from './demandRecord.js'
import { hashText } from '../../../shared/hashText.js'
import { RefusedRequests } from './refusedRequests.js'
import type { AdmissionDemand } from './admissionDemand.js'
import type { ServiceLoad } from './serviceLoad.js'
import type { ShareAdmission } from './shareAdmission.js'

interface SharePlan {
  readonly madeAtMs: number
  readonly engineWaitMs: number
  /** Wait up to which the engines are not the bottleneck. */
  readonly usualWaitMs: number
  /** Work up to which the demand of an account is met, by priority; empty while the engines are not the bottleneck. */
  readonly levels: ReadonlyMap<number, number>
}

/**
 * Orders the requests for the engines of one service while these are the bottleneck: two classes together ask for twice
 * what the engines read, for 6 s. There is no queue. The longer the wait at the engines is, the smaller is the part of
 * the work that is admitted, so that their queues stay short; which part is decided by priority, account and size.
 * State of one host, which sees a part of the requests; hosts that learn the same wait admit the same part.
 */
export class EngineShares {
  private readonly demands = new Map<number, DemandRecord>()
  private readonly refused = new RefusedRequests()
  private plan: SharePlan | undefined

  /** `salt` keeps clients from choosing request ids that are always admitted. */
  constructor (private readonly salt: string) {}

  /** Decides on a request and records it. */
  admitRequest (demand: AdmissionDemand, load: ServiceLoad, nowMs: number): ShareAdmission {
    if (this.plan === undefined || nowMs - this.plan.madeAtMs >= capacityConstants.planIntervalMs) {
      this.removeIdle(nowMs)
      this.plan = this.buildPlan(load, nowMs)
    }
    const isReturning = demand.isReturning || this.hasRefused(demand, nowMs)
    const record = this.demands.get(demand.priority) ?? new DemandRecord()
    this.demands.set(demand.priority, record)
    const { admission, promisedUntilMs } = this.decide(this.plan, { ...demand, isReturning }, nowMs)
    record.addRequest(demand.account, computeWork(demand), this.computeWeight(demand, nowMs), isReturning, nowMs)
    if (admission.isAdmitted) return admission
    const digest = demand.findDigest()
    if (digest !== undefined) this.refused.add(digest, admission.retryAfterMs, nowMs)
    // A client that stops waiting before there is room does not come again.
    if (admission.retryAfterMs < demand.timeLeftMs) record.setPromisedUntilMs(demand.account, promisedUntilMs)
    return admission
  }

  /** Decides on a request as if it came now; changes nothing. */
  explainRequest (demand: AdmissionDemand, load: ServiceLoad, nowMs: number): ShareAdmission {
    return this.decide(this.buildPlan(load, nowMs), demand, nowMs).admission
  }

  private decide (
    { levels, engineWaitMs, usualWaitMs }: SharePlan,
    demand: AdmissionDemand,
    nowMs: number
  ): { readonly admission: ShareAdmission, readonly promisedUntilMs: number } {
    const { priority, account, requestId, isReturning } = demand
    const level = levels.get(priority)
    const record = this.demands.get(priority)
    if (level === undefined || record === undefined) return { admission: { isAdmitted: true }, promisedUntilMs: 0 }
    const weight = this.computeWeight(demand, nowMs)
    const requestWork = computeMeanTokens([record], nowMs)
    const granted = computeAdmittedShare(record.computeWork(account, nowMs), { level, requestWork, isReturning })
    // The size counts less the more is admitted, and nothing when all of it is.
    const share = granted * (weight + (1 - weight) * granted)
    const isAdmitted = hashText(`${this.salt}:${requestId}`) / 0x100000000 < share
    if (isAdmitted) return { admission: { isAdmitted }, promisedUntilMs: 0 }
    const { minRetryAfterMs, maxRetryAfterMs, demandHalfLifeMs, returningShare } = capacityConstants
    // Refused requests come again at the rate at which they are admitted ahead of new ones.
    const workPerMs = level * Math.LN2 / demandHalfLifeMs * returningShare
    const roomAtMs = Math.max(record.getPromisedUntilMs(account), nowMs) + computeWork(demand) * weight / workPerMs
    const leastMs = Math.max(engineWaitMs - usualWaitMs, minRetryAfterMs)
    const retryAfterMs = Math.min(Math.max(roomAtMs - nowMs, leastMs), maxRetryAfterMs)
    return { admission: { isAdmitted, share, engineWaitMs, retryAfterMs }, promisedUntilMs: nowMs + retryAfterMs }
  }

  private buildPlan (load: ServiceLoad, nowMs: number): SharePlan {
    const { minUsualWaitMs, usualPromptsAhead, maxEngineWaitMs, waitExponent } = capacityConstants
    const meanTokens = computeMeanTokens([...this.demands.values()], nowMs)
    const engineWaitMs = Math.min(load.computeWaitMs(meanTokens), maxEngineWaitMs)
    const usualWaitMs = Math.max(load.computeReadMs(meanTokens) * usualPromptsAhead, minUsualWaitMs)
    if (engineWaitMs <= usualWaitMs) return { madeAtMs: nowMs, engineWaitMs, usualWaitMs, levels: new Map() }
    const priorities = [...this.demands.keys()].sort((a, b) => a - b)
    const admittedShare = (usualWaitMs / engineWaitMs) ** waitExponent
    const demands = priorities.map(priority => this.demands.get(priority)!.listDemands(nowMs))
    const levels = computeFillLevels(demands, admittedShare)
    const levelsByPriority = new Map(priorities.map((priority, index) => [priority, levels[index]!]))
    return { madeAtMs: nowMs, engineWaitMs, usualWaitMs, levels: levelsByPriority }
  }

  /**
   * Chance of a request relative to others of its account and priority, which are worth the same: one that is short to
   * read gives more for the time of the engines. Bounded, so that the largest requests are served, too.
   */
  private computeWeight (demand: AdmissionDemand, nowMs: number): number {
    const { minSizeWeight, maxSizeWeight } = capacityConstants
    const record = this.demands.get(demand.priority)
    if (record === undefined) return 1
    const meanTokens = computeMeanTokens([record], nowMs)
    return meanTokens === 0 ? 1 : Math.min(Math.max(meanTokens / computeWork(demand), minSizeWeight), maxSizeWeight)
  }

  private hasRefused ({ findDigest }: AdmissionDemand, nowMs: number): boolean {
    if (this.refused.isEmpty) return false
    const digest = findDigest()
    return digest !== undefined && this.refused.has(digest, nowMs)
  }

  private removeIdle (nowMs: number): void {
    this.refused.removeExpired(nowMs)
    for (const [priority, record] of this.demands) if (!record.removeIdle(nowMs)) this.demands.delete(priority)
  }
}

/** Mean tokens of the recent requests of some priorities; 0 while there are too few. */
function computeMeanTokens (records: readonly DemandRecord[], nowMs: number): number {
  const requests = records.reduce((sum, record) => sum + record.countRequests(nowMs), 0)
  const tokens = records.reduce((sum, record) => sum + record.countTokens(nowMs), 0)
  return requests < capacityConstants.minRecentRequests ? 0 : tokens / requests
}

/** Tokens that count for a request: clients state them, so neither zero nor any number is taken at its word. */
function computeWork ({ tokens }: AdmissionDemand): number {
  return Math.min(Math.max(tokens, capacityConstants.minWorkTokens), capacityConstants.maxWorkTokens)
}

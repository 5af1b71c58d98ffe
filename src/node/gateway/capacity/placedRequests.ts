import { capacityConstants } from './constants.js'
import type { EngineCapacities } from './engineCapacities.js'
import type { FirstEventReport } from './firstEventReport.js'

/** An engine that was chosen for the request of another host. */
interface PlacedRequest {
  readonly service: string
  readonly engineId: string
  readonly readTokens: number
  readonly backlogMs: number
}

/**
 * The requests of other hosts that this host has placed on engines. Their first events reach this host only as reports;
 * its own clients' requests are too few to learn from: one in 25 to 87 of those that it places.
 */
export class PlacedRequests {
  /** By the id of the stage job, in the order in which they were placed. */
  private readonly requests = new Map<string, PlacedRequest & { readonly placedAtMs: number }>()

  constructor (private readonly capacities: EngineCapacities) {}

  /** Number of requests that wait for their report. */
  get count (): number {
    return this.requests.size
  }

  addRequest (jobId: string, request: PlacedRequest, nowMs: number): void {
    this.evictRequests(nowMs)
    this.requests.set(jobId, { ...request, placedAtMs: nowMs })
  }

  /** Observes a report; one of a request that is not known is ignored. */
  observe ({ jobId, elapsedMs, hasBegun }: FirstEventReport, nowMs: number): void {
    const request = this.requests.get(jobId)
    const isValid = elapsedMs >= 0 && elapsedMs <= capacityConstants.maxReportAgeMs
    if (request === undefined || !this.requests.delete(jobId) || !isValid) return
    const { service, engineId, readTokens, backlogMs } = request
    const capacity = this.capacities.getService(service)
    // How many requests of all hosts are in progress is not known here; the sample counts as one with few.
    const sample = { engineId, readTokens, backlogMs, elapsedMs, inProgress: 0 }
    if (hasBegun) capacity.observeFirstEvent(sample, nowMs)
    else capacity.observeMissingEvent(sample, nowMs)
  }

  private evictRequests (nowMs: number): void {
    for (const [jobId, { placedAtMs }] of this.requests) {
      const { maxPlacedRequests, maxReportAgeMs } = capacityConstants
      if (this.requests.size < maxPlacedRequests && nowMs - placedAtMs < maxReportAgeMs) return
      this.requests.delete(jobId)
    }
  }
}

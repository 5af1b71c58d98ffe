import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'
import { choosePlacementOrder } from './choosePlacementOrder.js'
import { placementConstants } from './constants.js'
import type { EngineOrders } from './engineOrders.js'
import type { PlacementLease } from './placementLease.js'

interface PlacementControllerParts {
  readonly lease: PlacementLease
  readonly orders: EngineOrders
  readonly clock: Clock
  readonly logger: Logger
  /** Demand by model over all hosts, in generated tokens a second. */
  readonly readDemand: () => Promise<ReadonlyMap<string, number>>
}

/** Sends the orders of the placement while this host holds the lease. */
export class PlacementController {
  private lastLoadMs = Infinity
  private lastFencing: number | undefined

  constructor (private readonly parts: PlacementControllerParts) {}

  /** Renews or acquires the lease; failures leave the host a follower. */
  async updateLease (): Promise<void> {
    try {
      await this.parts.lease.update()
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      this.parts.logger.recordDebug('placement lease not renewed', { code: error.code })
    }
  }

  /** Gives the lease up; failures leave it to lapse. */
  async close (): Promise<void> {
    try {
      await this.parts.lease.close()
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      this.parts.logger.recordDebug('placement lease not given up', { code: error.code })
    }
  }

  /** Sends at most one order. */
  async runPlan (): Promise<void> {
    const fencingBefore = this.parts.lease.getFencing()
    if (fencingBefore === undefined) return
    this.observeFencing(fencingBefore)
    const order = choosePlacementOrder(this.parts.orders.listRunners(), await this.parts.readDemand())
    if (order === undefined || !this.isLoadPermitted(order.order)) return
    const fencing = this.parts.lease.getFencing()
    if (fencing !== fencingBefore) return
    if (order.order === 'load') this.lastLoadMs = this.parts.clock.readMonotonicMs()
    try {
      await this.parts.orders.send(order, fencing)
      this.parts.logger.recordInfo('order sent', { upstream: order.upstreamId, order: order.order, model: order.model, fencing })
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      this.parts.logger.recordWarning('order failed', { upstream: order.upstreamId, order: order.order, model: order.model, code: error.code })
    }
  }

  /** The predecessor's last load is unknown, so the first load of a new holder waits a whole interval. */
  private observeFencing (fencing: number): void {
    if (fencing === this.lastFencing) return
    this.lastFencing = fencing
    this.lastLoadMs = this.parts.clock.readMonotonicMs()
  }

  private isLoadPermitted (order: 'load' | 'unload'): boolean {
    if (order === 'unload') return true
    return this.parts.clock.readMonotonicMs() - this.lastLoadMs >= placementConstants.LOAD_INTERVAL_MS
  }
}

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
  /** Demand by model across all hosts, in generated tokens per second. */
  readonly readDemand: () => Promise<ReadonlyMap<string, number>>
}

/** Sends placement orders to the runners while this host holds the lease. */
export class PlacementController {
  private lastLoadMs = Infinity
  private lastFencing: number | undefined

  constructor (private readonly parts: PlacementControllerParts) {}

  /** Renews the lease or tries to acquire it. Failures are logged; the lease then expires or the host remains a follower. */
  async updateLease (): Promise<void> {
    try {
      await this.parts.lease.update()
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      this.parts.logger.recordDebug('cannot renew or acquire the placement lease', { code: error.code })
    }
  }

  /** Releases the lease. If that fails, the lease expires by itself. */
  async close (): Promise<void> {
    try {
      await this.parts.lease.close()
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      this.parts.logger.recordDebug('cannot release the placement lease', { code: error.code })
    }
  }

  /** Chooses and sends at most one order. */
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
      this.parts.logger.recordInfo('placement order sent', { upstream: order.upstreamId, order: order.order, model: order.model, fencing })
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      this.parts.logger.recordWarning('placement order failed', { upstream: order.upstreamId, order: order.order, model: order.model, code: error.code })
    }
  }

  /** Delays the first load of a new holder by a whole interval, because the time of its predecessor's last load is unknown. */
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

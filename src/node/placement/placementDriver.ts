import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import { LycheetrackError } from '../../shared/lycheetrackError.js'
import { scheduleRepeatedly } from '../../shared/scheduleRepeatedly.js'
import type { Clock } from '../../types/clock.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { Random } from '../../types/random.js'
import type { Scheduler } from '../../types/scheduler.js'
import { peerMethods } from '../peers/peerMethods.js'
import { placementConstants } from './constants.js'
import { createPlacementController } from './createPlacementController.js'
import type { EngineOrders } from './engineOrders.js'
import { ModelDemand } from './modelDemand.js'
import type { PlacementController } from './placementController.js'

interface PlacementDriverParts {
  readonly keyValue: KeyValueService
  readonly orders: EngineOrders
  readonly membership: MembershipView
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly scheduler: Scheduler
  readonly random: Random
  readonly logger: Logger
}

/** Runs model placement at one host. A few candidate hosts compete for the lease, and its holder sums the demand of all hosts. */
export class PlacementDriver {
  readonly demand = new ModelDemand()
  private readonly controller: PlacementController
  private cancels: ReadonlyArray<() => void> = []

  constructor (private readonly parts: PlacementDriverParts) {
    const { membership, transport, clock } = parts
    this.controller = createPlacementController({ ...parts, hostId: membership.getSelf().id, readDemand: async () => await this.readDemand() })
    transport.handle(peerMethods.modelDemand, () => ({
      entries: [...this.demand.read(clock.readMonotonicMs())].map(([model, tokensPerSecond]) => ({ model, tokensPerSecond }))
    }))
  }

  start (): void {
    const { scheduler, random } = this.parts
    this.cancels = [
      scheduleRepeatedly(scheduler, random, placementConstants.RENEW_INTERVAL_MS, 0.1, () => { void this.updateLease() }),
      scheduleRepeatedly(scheduler, random, placementConstants.PLAN_INTERVAL_MS, 0.1, () => { void this.controller.runPlan() })
    ]
  }

  /** Stops the periodic work and releases the lease. */
  async stop (): Promise<void> {
    for (const cancel of this.cancels) cancel()
    await this.controller.close()
  }

  private async updateLease (): Promise<void> {
    const { membership } = this.parts
    const hosts = membership.listHosts().filter(host => host.state === 'live').map(host => host.id)
    const candidates = chooseByRendezvous('placement', hosts, placementConstants.LEASE_CANDIDATES)
    if (candidates.includes(membership.getSelf().id)) await this.controller.updateLease()
  }

  private async readDemand (): Promise<ReadonlyMap<string, number>> {
    const { membership, transport, clock } = this.parts
    const total = new Map(this.demand.read(clock.readMonotonicMs()))
    const peers = membership.listHosts().filter(host => host.id !== membership.getSelf().id)
    await Promise.all(peers.map(async peer => {
      try {
        const response = await transport.send(peer.peerAddress, peerMethods.modelDemand, {}, placementConstants.CALL_TIMEOUT_MS)
        for (const { model, tokensPerSecond } of response.entries ?? []) total.set(model ?? '', (total.get(model ?? '') ?? 0) + (tokensPerSecond ?? 0))
      } catch (error) {
        if (!(error instanceof LycheetrackError)) throw error
      }
    }))
    return total
  }
}

import { EngineShares } from './engineShares.js'
import { randomUUID } from 'node:crypto'
import { ServiceCapacity } from './serviceCapacity.js'

/** The learned capacity of the engines of all services, shared by everything at a host that chooses engines. */
export class EngineCapacities {
  private readonly services = new Map<string, ServiceCapacity>()
  private readonly shares = new Map<string, EngineShares>()

  /** `salt` is part of the hash by which requests are admitted to their share. */
  constructor (private readonly salt: string = randomUUID()) {}

  getService (service: string): ServiceCapacity {
    const known = this.services.get(service)
    if (known !== undefined) return known
    const capacity = new ServiceCapacity()
    this.services.set(service, capacity)
    return capacity
  }

  /** The shares of priorities and accounts while the engines of a service are the bottleneck. */
  getShares (service: string): EngineShares {
    const known = this.shares.get(service)
    if (known !== undefined) return known
    const shares = new EngineShares(this.salt)
    this.shares.set(service, shares)
    return shares
  }

  /** Forgets an engine that is gone. */
  removeEngine (engineId: string): void {
    for (const capacity of this.services.values()) capacity.removeEngine(engineId)
  }
}

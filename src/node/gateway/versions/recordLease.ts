import { versionConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreLease } from '../model/storeLease.js'

/** The lease of the stream records that a host writes: it lasts until no stream of them can be resumed any more. */
export class RecordLease {
  private lease: { readonly value: StoreLease, readonly createdAtMs: number } | undefined

  constructor (private readonly store: StoreClient, private readonly clock: Clock) {}

  /** Resolves to a lease for records that are written now. Rejects as the store does. */
  async getLease (): Promise<StoreLease> {
    const { leaseUseMs, sliceMs, streamLifetimeMs } = versionConstants
    const createdAtMs = this.clock.readMonotonicMs()
    if (this.lease !== undefined && createdAtMs - this.lease.createdAtMs < leaseUseMs) return this.lease.value
    const value = await this.store.createLease(leaseUseMs + sliceMs + streamLifetimeMs)
    this.lease = { value, createdAtMs }
    return value
  }

  /** Forgets the lease because it has ended. */
  removeLease (): void {
    this.lease = undefined
  }
}

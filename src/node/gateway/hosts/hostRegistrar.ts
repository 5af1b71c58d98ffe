import { hostEntryCodec } from './hostEntryCodec.js'
import { computeRegistrationPause } from './computeRegistrationPause.js'
import { storeConstants } from '../store/constants.js'
import type { HostEntry } from '../model/hostEntry.js'
import type { Logger } from '../../../types/logger.js'
import type { StoreLease } from '../model/storeLease.js'
import type { StoreClient } from '../model/storeClient.js'

interface RegistrarOptions {
  readonly store: StoreClient
  /** Key of this host's entry. */
  readonly key: string
  readonly logger: Logger
  readonly getEntry: () => HostEntry
  readonly countHosts: () => number
}

/** Keeps this host's entry in the store, under a lease that expires when the process no longer renews it. */
export class HostRegistrar {
  private lease: StoreLease | undefined
  private registeredValue: string | undefined
  private isRunning = false
  private timer: NodeJS.Timeout | undefined
  private isStopped = false
  /** Attempts to register that have failed since the last one that did not; only the first of them is logged. */
  private failureCount = 0

  constructor (private readonly options: RegistrarOptions) {}

  /**
   * Renews the lease and writes the entry if it has changed, now and from then on every `renewMs`, or sooner when the
   * entry has not been written (`computeRegistrationPause`). Does nothing while a write is in progress: a change that
   * comes during it is written
   * `retryMs` after its end.
   */
  updateNow (): void {
    clearTimeout(this.timer)
    if (this.isStopped || this.isRunning) return
    this.isRunning = true
    this.registerOnce().catch(error => { this.recordFailure(error) }).finally(() => {
      this.isRunning = false
      if (this.isStopped) return
      const pauseMs = this.hasChanged()
        ? computeRegistrationPause(this.failureCount, this.options.countHosts())
        : storeConstants.renewMs
      this.timer = setTimeout(() => { this.updateNow() }, pauseMs)
    })
  }

  /**
   * Compares a change of the stored entry with this process; undefined when the entry was removed. The last writes of the
   * process before this one may arrive late, so the next renewal replaces what another process has left.
   */
  onStored (entry: HostEntry | undefined): void {
    if (this.isStopped || this.registeredValue === undefined) return
    if (entry?.startedAtMs === this.options.getEntry().startedAtMs) return
    this.options.logger.recordWarning('host entry overwritten or removed', { startedAtMs: entry?.startedAtMs })
    this.registeredValue = undefined
  }

  /** Ends the lease, which removes the entry. */
  async stop (): Promise<void> {
    this.isStopped = true
    clearTimeout(this.timer)
    const { lease } = this
    if (lease === undefined) return
    try {
      await this.options.store.closeLease(lease)
    } catch (error) {
      this.options.logger.recordWarning('failed to remove the host entry; it expires with its lease', { reason: (error as Error).message })
    }
  }

  private hasChanged (): boolean {
    return hostEntryCodec.encode(this.options.getEntry()).toString() !== this.registeredValue
  }

  private async registerOnce (): Promise<void> {
    const { store, key, getEntry } = this.options
    if (this.lease !== undefined && !await store.updateLease(this.lease)) this.lease = undefined
    if (this.lease === undefined) {
      this.lease = await store.createLease(storeConstants.leaseMs)
      this.registeredValue = undefined
    }
    if (this.hasChanged()) {
      const value = hostEntryCodec.encode(getEntry())
      const writes = [{ key, value, lease: this.lease }]
      const isWritten = await store.writeConditionally({ conditions: [], writes, removals: [] })
      if (isWritten) this.registeredValue = value.toString()
      // The store refused the write, although it has no conditions: the next attempt creates a new lease.
      else this.lease = undefined
    }
    if (this.failureCount > 0) this.options.logger.recordInfo('host registered after failed attempts')
    this.failureCount = 0
  }

  private recordFailure (error: unknown): void {
    // A write without a response may have taken effect or not, so the next attempt writes again.
    this.registeredValue = undefined
    if (this.failureCount === 0) this.options.logger.recordWarning('host registration failed', { reason: (error as Error).message })
    this.failureCount++
  }
}

import { hostEntryCodec } from './hostEntryCodec.js'
import { storeConstants } from '../store/constants.js'
import type { HostEntry } from '../model/hostEntry.js'
import type { Logger } from '../../../types/logger.js'
import type { StoreClient } from '../model/storeClient.js'

interface RegistrarOptions {
  readonly store: StoreClient
  /** Key of this host's entry. */
  readonly key: string
  readonly logger: Logger
  readonly getEntry: () => HostEntry
}

/** Keeps this host's entry in the store, under a lease that expires when the process no longer renews it. */
export class HostRegistrar {
  private leaseId: number | undefined
  private registeredValue: string | undefined
  private isRunning = false
  private timer: NodeJS.Timeout | undefined
  private isStopped = false
  private isLost = false

  constructor (private readonly options: RegistrarOptions) {}

  /** Writes the entry now if it has changed, and renews its lease from then on. */
  updateNow (): void {
    clearTimeout(this.timer)
    if (this.isStopped || this.isRunning) return
    this.isRunning = true
    this.registerOnce().catch(error => { this.recordLost(error) }).finally(() => {
      this.isRunning = false
      if (!this.isStopped) this.timer = setTimeout(() => { this.updateNow() }, this.hasChanged() ? storeConstants.retryMs : storeConstants.renewMs)
    })
  }

  /** Ends the lease, which removes the entry. */
  async stop (): Promise<void> {
    this.isStopped = true
    clearTimeout(this.timer)
    const { leaseId } = this
    if (leaseId === undefined) return
    try {
      await this.options.store.closeLease(leaseId)
    } catch (error) {
      this.options.logger.recordWarning('host entry not removed', { reason: (error as Error).message })
    }
  }

  private hasChanged (): boolean {
    return hostEntryCodec.encode(this.options.getEntry()).toString() !== this.registeredValue
  }

  private async registerOnce (): Promise<void> {
    const { store, key, getEntry } = this.options
    if (this.leaseId !== undefined && !await store.updateLease(this.leaseId)) this.leaseId = undefined
    if (this.leaseId === undefined) {
      this.leaseId = await store.createLease(storeConstants.leaseMs)
      this.registeredValue = undefined
    }
    if (this.hasChanged()) {
      const value = hostEntryCodec.encode(getEntry())
      const isWritten = await store.writeConditionally({ conditions: [], writes: [{ key, value, leaseId: this.leaseId }], removals: [] })
      if (isWritten) this.registeredValue = value.toString()
      else this.leaseId = undefined
    }
    if (this.isLost) this.options.logger.recordInfo('host registration restored')
    this.isLost = false
  }

  private recordLost (error: unknown): void {
    // A write without a response may have taken effect or not, so the next attempt writes again.
    this.registeredValue = undefined
    if (!this.isLost) this.options.logger.recordWarning('host registration lost', { reason: (error as Error).message })
    this.isLost = true
  }
}

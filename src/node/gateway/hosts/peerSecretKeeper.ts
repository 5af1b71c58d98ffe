import { storeConstants } from '../store/constants.js'
import type { Logger } from '../../../types/logger.js'
import type { Random } from '../../../types/random.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { StoreChange } from '../model/storeChange.js'
import type { StoreClient } from '../model/storeClient.js'
import type { StoreItem } from '../model/storeItem.js'

interface KeeperOptions {
  readonly store: StoreClient
  readonly key: string
  /** A secret of this host's own; it becomes that of all hosts if the store has none. */
  readonly secret: string
  readonly onReplaced: (secret: string) => void
  readonly random: Random
  readonly timers: Scheduler
  readonly logger: Logger
}

/**
 * Keeps the secret of all hosts the same. The store decides: when it was restored from a copy that is older than the
 * secret, one of the hosts writes its own again, and a host that knows another one takes that of the store.
 */
export class PeerSecretKeeper {
  private secret: string
  /** Whether the store has, or had, the secret. */
  private isShared = false
  private isMissing = false
  private cancelTimer: (() => void) | undefined

  constructor (private readonly options: KeeperOptions) {
    this.secret = options.secret
  }

  applySnapshot (items: readonly StoreItem[]): void {
    const item = items.find(item => item.key === this.options.key)
    if (item === undefined) this.onMissing()
    else this.applySecret(item)
  }

  applyChange (change: StoreChange): void {
    const { key } = this.options
    if (change.type === 'written' && change.item.key === key) this.applySecret(change.item)
    if (change.type === 'removed' && change.key === key) this.onMissing()
  }

  stop (): void {
    this.isMissing = false
    this.cancelTimer?.()
  }

  private applySecret ({ value, revision }: StoreItem): void {
    this.stop()
    const wasShared = this.isShared
    this.isShared = true
    const secret = value.toString('utf8')
    if (secret === this.secret) return
    this.secret = secret
    const { logger, onReplaced } = this.options
    if (wasShared) logger.recordWarning('peer secret replaced', { revision, reason: 'the store holds another one' })
    else logger.recordInfo('peer secret read', { revision })
    onReplaced(secret)
  }

  /**
   * All hosts miss the secret at the same time, and one of them is to write it. Hosts that have just started leave this
   * to those that share one.
   */
  private onMissing (): void {
    const { random } = this.options
    this.scheduleWrite(storeConstants.rereadSpreadMs * (this.isShared ? random() : 1 + random()))
  }

  private scheduleWrite (delayMs: number): void {
    this.cancelTimer?.()
    this.isMissing = true
    this.cancelTimer = this.options.timers.schedule(delayMs, () => {
      this.writeSecret(delayMs).catch(error => {
        this.options.logger.recordError('peer secret not written, unexpectedly', { reason: (error as Error).message })
      })
    })
  }

  private async writeSecret (lastDelayMs: number): Promise<void> {
    const { store, key, logger } = this.options
    try {
      const isWritten = await store.writeConditionally({
        conditions: [{ key, revision: 0 }],
        writes: [{ key, value: Buffer.from(this.secret) }],
        removals: []
      })
      logger.recordInfo('peer secret was missing in the store', { isWritten })
    } catch (error) {
      logger.recordWarning('peer secret not written', { reason: (error as Error).message })
      const retryMs = Math.min(Math.max(lastDelayMs * 2, storeConstants.retryMs), storeConstants.maxRetryMs)
      if (this.isMissing) this.scheduleWrite(retryMs)
    }
  }
}

import type { Clock } from '../../types/clock.js'
import type { MembershipView } from '../../types/membershipView.js'
import { requestConstants } from './constants.js'
import type { DirectoryClient } from './directoryClient.js'
import type { RequestEntry } from './requestEntry.js'
import type { RequestRegistry } from './requestRegistry.js'

interface RequestRegistrarOptions {
  readonly clock: Clock
  readonly membership: MembershipView
  readonly registry: RequestRegistry
  readonly directory: DirectoryClient
}

/**
 * Repeats the directory registrations of the requests that this host owns: when their directory hosts change,
 * periodically, and after the process was frozen, since other hosts may have taken over requests in the meantime.
 */
export class RequestRegistrar {
  private removeListener: () => void = () => {}
  private changeTimer: NodeJS.Timeout | undefined
  private checkTimer: NodeJS.Timeout | undefined
  private lastCheckMs = 0
  private lastRoundMs = 0

  constructor (private readonly options: RequestRegistrarOptions) {}

  start (): void {
    const { clock, membership } = this.options
    this.lastCheckMs = this.lastRoundMs = clock.readMonotonicMs()
    this.removeListener = membership.onChange(() => {
      this.changeTimer ??= setTimeout(() => {
        this.changeTimer = undefined
        this.registerMoved().catch(() => {})
      }, requestConstants.reregisterDelayMs).unref()
    })
    this.checkTimer = setInterval(() => this.handleTick(clock.readMonotonicMs()), requestConstants.freezeCheckIntervalMs).unref()
  }

  stop (): void {
    this.removeListener()
    clearTimeout(this.changeTimer)
    clearInterval(this.checkTimer)
  }

  /**
   * Called by the timer. A long gap since the previous call shows that the process was frozen. After one, and otherwise
   * every `reregisterIntervalMs`, all running requests are registered again.
   */
  handleTick (nowMs: number): void {
    const gapMs = nowMs - this.lastCheckMs
    this.lastCheckMs = nowMs
    this.options.registry.removeExpired(nowMs)
    const isRoundDue = nowMs - this.lastRoundMs > requestConstants.reregisterIntervalMs
    if (gapMs < requestConstants.freezeDetectionGapMs && !isRoundDue) return
    this.lastRoundMs = nowMs
    this.registerRunning().catch(() => {})
  }

  /** Registers all running requests that this host owns. */
  async registerRunning (): Promise<void> {
    await this.registerEach(this.listOwned().filter(entry => !entry.isEnded))
  }

  /** Registers the requests whose directory hosts have changed, including finished ones. */
  async registerMoved (): Promise<void> {
    await this.registerEach(this.listOwned().filter(entry => this.listDirectoryHostIds(entry) !== entry.directoryHostIds))
  }

  private listOwned (): readonly RequestEntry[] {
    return this.options.registry.list().filter(entry => entry.role === 'owner')
  }

  private listDirectoryHostIds (entry: RequestEntry): string {
    return this.options.directory.listDirectoryHosts(entry.identity.account, entry.identity.requestId).map(host => host.id).join()
  }

  private async registerEach (entries: readonly RequestEntry[]): Promise<void> {
    const batchSize = requestConstants.registrationBatchSize
    for (let start = 0; start < entries.length; start += batchSize) {
      await Promise.all(entries.slice(start, start + batchSize).map(async entry => await this.register(entry)))
    }
  }

  private async register (entry: RequestEntry): Promise<void> {
    const directoryHostIds = this.listDirectoryHostIds(entry)
    const { identity, epoch, hint } = entry
    const result = await this.options.directory.register({ identity, ownerId: this.options.membership.getSelf().id, epoch, hint, finished: entry.isEnded })
    if (result === undefined) return
    if (result.accepted) entry.directoryHostIds = directoryHostIds
    else entry.applyNewOwner(result)
  }
}

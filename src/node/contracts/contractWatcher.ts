import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import { scheduleRepeatedly } from '../../shared/scheduleRepeatedly.js'
import type { Clock } from '../../types/clock.js'
import type { ContractRevision } from '../../types/contractRevision.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Random } from '../../types/random.js'
import type { Scheduler } from '../../types/scheduler.js'
import { chooseWatchers } from './chooseWatchers.js'
import type { ConfirmationState } from './confirmationState.js'
import { contractConstants } from './constants.js'
import { parseRevision } from './parseRevision.js'

interface WatcherDependencies {
  readonly service: KeyValueService
  readonly membership: MembershipView
  readonly confirmation: ConfirmationState
  readonly clock: Clock
  readonly scheduler: Scheduler
  readonly random: Random
  readonly logger: Logger
  /** Called with revisions read from the service. */
  readonly onRevisions: (revisions: readonly ContractRevision[]) => void
}

/** Watches the contracts in the key-value service while this host is one of the two watchers of its failure domain. */
export class ContractWatcher {
  private watchController: AbortController | undefined
  private cancelCallbacks: ReadonlyArray<() => void> = []

  constructor (private readonly dependencies: WatcherDependencies) {}

  start (): void {
    const { scheduler, random, membership } = this.dependencies
    this.updateRole()
    this.cancelCallbacks = [
      membership.onChange(() => { this.updateRole() }),
      // Detects changes of this host's own state, and retries a watch that could not be opened.
      scheduleRepeatedly(scheduler, random, contractConstants.watchRetryMs, 0.2, () => { this.updateRole() }),
      scheduleRepeatedly(scheduler, random, contractConstants.fullComparisonPeriodMs, 0.1, () => { this.runFullComparison().catch(() => {}) })
    ]
  }

  stop (): void {
    for (const cancel of this.cancelCallbacks) cancel()
    this.watchController?.abort()
    this.watchController = undefined
  }

  isWatching (): boolean {
    return this.watchController !== undefined
  }

  /** Loads all contracts from the service; resolves to the store revision at which they were read. */
  async loadContracts (): Promise<number> {
    const sentAtMs = this.dependencies.clock.readMonotonicMs()
    const { entries, revision } = await this.dependencies.service.list(contractConstants.keyPrefix)
    this.dependencies.onRevisions(entries.flatMap(entry => this.parseEntry(entry.key, entry.value) ?? []))
    this.dependencies.confirmation.onConfirmed(sentAtMs)
    return revision
  }

  private updateRole (): void {
    const { membership } = this.dependencies
    const self = membership.getSelf()
    const isChosen = chooseWatchers(self.failureDomain, membership.listHosts()).includes(self.id)
    if (isChosen && !this.watchController) this.openWatch().catch(() => {})
    if (!isChosen && this.watchController) {
      this.watchController.abort()
      this.watchController = undefined
    }
  }

  private async openWatch (): Promise<void> {
    const controller = new AbortController()
    this.watchController = controller
    try {
      const revision = await this.loadContracts()
      if (controller.signal.aborted) return
      this.dependencies.service.watch(contractConstants.keyPrefix, revision, change => {
        const parsed = change.value === null ? undefined : this.parseEntry(change.key, change.value)
        if (parsed) this.dependencies.onRevisions([parsed])
      }, controller.signal, () => { this.dependencies.confirmation.onHeartbeat(this.dependencies.clock.readMonotonicMs()) })
    } catch {
      // The service is unavailable; `updateRole` tries again after `watchRetryMs`.
      if (this.watchController === controller) this.watchController = undefined
    }
  }

  // In each period one watcher, chosen by hashing the period number, reads all contracts. Revisions that are new to it
  // reach the other hosts through pushes and digest exchanges.
  private async runFullComparison (): Promise<void> {
    if (!this.watchController) return
    const { membership, clock } = this.dependencies
    const hosts = membership.listHosts()
    const domains = [...new Set(hosts.map(host => host.failureDomain))]
    const watchers = domains.flatMap(domain => chooseWatchers(domain, hosts))
    const period = Math.floor(clock.readWallMs() / contractConstants.fullComparisonPeriodMs)
    const chosen = chooseByRendezvous(`contracts-compare/${period}`, watchers, 1)[0]
    if (chosen === membership.getSelf().id) await this.loadContracts()
  }

  private parseEntry (key: string, value: string): ContractRevision | undefined {
    const revision = parseRevision(value)
    if (revision && contractConstants.keyPrefix + revision.account === key) return revision
    this.dependencies.logger.recordError('stored contract is unreadable and was skipped', { key })
    return undefined
  }
}

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

interface WatcherParts {
  readonly service: KeyValueService
  readonly membership: MembershipView
  readonly confirmation: ConfirmationState
  readonly clock: Clock
  readonly scheduler: Scheduler
  readonly random: Random
  readonly logger: Logger
  /** Takes over revisions of the service. */
  readonly onRevisions: (revisions: readonly ContractRevision[]) => void
}

/** Holds a watch on the contracts while this host is one of the two watchers of its failure domain. */
export class ContractWatcher {
  private open: AbortController | undefined
  private cancels: ReadonlyArray<() => void> = []

  constructor (private readonly parts: WatcherParts) {}

  start (): void {
    const { scheduler, random, membership } = this.parts
    this.updateRole()
    this.cancels = [
      membership.onChange(() => { this.updateRole() }),
      // A change of state of this host alone, or a watch that could not be opened, is seen here.
      scheduleRepeatedly(scheduler, random, contractConstants.watchRetryMs, 0.2, () => { this.updateRole() }),
      scheduleRepeatedly(scheduler, random, contractConstants.comparePeriodMs, 0.1, () => { this.runComparison().catch(() => {}) })
    ]
  }

  stop (): void {
    for (const cancel of this.cancels) cancel()
    this.open?.abort()
    this.open = undefined
  }

  isWatching (): boolean {
    return this.open !== undefined
  }

  /** Reads all contracts of the service; resolves to the revision of the service that they belong to. */
  async loadContracts (): Promise<number> {
    const sentAtMs = this.parts.clock.readMonotonicMs()
    const { entries, revision } = await this.parts.service.list(contractConstants.keyPrefix)
    this.parts.onRevisions(entries.flatMap(entry => this.parseEntry(entry.key, entry.value) ?? []))
    this.parts.confirmation.onConfirmed(sentAtMs)
    return revision
  }

  private updateRole (): void {
    const { membership } = this.parts
    const self = membership.getSelf()
    const isChosen = chooseWatchers(self.failureDomain, membership.listHosts()).includes(self.id)
    if (isChosen && !this.open) this.openWatch().catch(() => {})
    if (!isChosen && this.open) {
      this.open.abort()
      this.open = undefined
    }
  }

  private async openWatch (): Promise<void> {
    const controller = new AbortController()
    this.open = controller
    try {
      const revision = await this.loadContracts()
      if (controller.signal.aborted) return
      this.parts.service.watch(contractConstants.keyPrefix, revision, change => {
        const parsed = change.value === null ? undefined : this.parseEntry(change.key, change.value)
        if (parsed) this.parts.onRevisions([parsed])
      }, controller.signal, () => { this.parts.confirmation.onHeartbeat(this.parts.clock.readMonotonicMs()) })
    } catch {
      // The service does not answer; the next period tries again.
      if (this.open === controller) this.open = undefined
    }
  }

  // Each period one watcher, chosen by the time, compares everything; the digests carry the result on.
  private async runComparison (): Promise<void> {
    if (!this.open) return
    const { membership, clock } = this.parts
    const hosts = membership.listHosts()
    const domains = [...new Set(hosts.map(host => host.failureDomain))]
    const watchers = domains.flatMap(domain => chooseWatchers(domain, hosts))
    const period = Math.floor(clock.readWallMs() / contractConstants.comparePeriodMs)
    const chosen = chooseByRendezvous(`contracts-compare/${period}`, watchers, 1)[0]
    if (chosen === membership.getSelf().id) await this.loadContracts()
  }

  private parseEntry (key: string, value: string): ContractRevision | undefined {
    const revision = parseRevision(value)
    if (revision && contractConstants.keyPrefix + revision.account === key) return revision
    this.parts.logger.recordError('a stored contract is unreadable and was left out', { key })
    return undefined
  }
}

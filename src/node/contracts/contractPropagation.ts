import { scheduleRepeatedly } from '../../shared/scheduleRepeatedly.js'
import type { Clock } from '../../types/clock.js'
import type { ContractChange } from '../../types/contractChange.js'
import type { ContractRevision } from '../../types/contractRevision.js'
import type { ContractStatus } from '../../types/contractStatus.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Metrics } from '../../types/metrics.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { Random } from '../../types/random.js'
import type { Scheduler } from '../../types/scheduler.js'
import { ConfirmationState } from './confirmationState.js'
import { contractConstants } from './constants.js'
import { ContractExchange } from './contractExchange.js'
import { ContractStore } from './contractStore.js'
import { ContractWatcher } from './contractWatcher.js'
import { ContractWriter } from './contractWriter.js'
import { HostUnconfirmedError } from './hostUnconfirmedError.js'
import { InvalidContractError } from './invalidContractError.js'
import { readContractStatus } from './readContractStatus.js'

interface PropagationDependencies {
  readonly service: KeyValueService
  readonly transport: PeerTransport
  readonly membership: MembershipView
  readonly clock: Clock
  readonly scheduler: Scheduler
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Accepts contract changes and keeps the contracts of this host the same as those of the key-value service. */
export class ContractPropagation {
  readonly store = new ContractStore()
  private readonly confirmation = new ConfirmationState()
  private readonly writer: ContractWriter
  private readonly exchange: ContractExchange
  private readonly watcher: ContractWatcher
  private cancelTimers: ReadonlyArray<() => void> = []
  private hasLoaded = false
  private isStopped = false

  constructor (private readonly dependencies: PropagationDependencies) {
    const { confirmation, store } = this
    this.writer = new ContractWriter(dependencies.service, dependencies.clock, dependencies.scheduler)
    this.exchange = new ContractExchange({ ...dependencies, store, confirmation, isReady: () => this.hasLoaded })
    this.watcher = new ContractWatcher({ ...dependencies, confirmation, onRevisions: revisions => { this.exchange.applyRevisions(revisions) } })
  }

  /** Loads the contracts from the service or, in an outage, from peers; resolves when this is done. */
  async start (): Promise<void> {
    while (!this.isStopped && !await this.loadOnce()) {
      await new Promise<void>(resolve => { this.dependencies.scheduler.schedule(contractConstants.startupRetryMs, resolve) })
    }
    if (this.isStopped) return
    this.hasLoaded = true
    this.watcher.start()
    const { scheduler, random } = this.dependencies
    this.cancelTimers = [scheduleRepeatedly(scheduler, random, contractConstants.digestPeriodMs, 0.2, () => { this.runPeriod() })]
  }

  stop (): void {
    this.isStopped = true
    for (const cancel of this.cancelTimers) cancel()
    this.watcher.stop()
  }

  /** Whether the contracts have been loaded. */
  isReady (): boolean {
    return this.hasLoaded
  }

  /** False after 10 s without a confirmation; the host then accepts no contract change. */
  isConfirmed (): boolean {
    return this.confirmation.isConfirmed(this.dependencies.clock.readMonotonicMs())
  }

  /** Milliseconds since the contracts were confirmed; -1 when never. */
  computeConfirmedAgeMs (): number {
    return this.confirmation.computeAgeMs(this.dependencies.clock.readMonotonicMs())
  }

  /**
   * Accepts a change and begins to spread it. Throws `HostUnconfirmedError`, `InvalidContractError` and
   * the errors of `ContractWriter.writeChange`.
   */
  async writeChange (change: ContractChange): Promise<ContractRevision> {
    if (!this.isConfirmed()) throw new HostUnconfirmedError('this host has not confirmed its contracts for 10 s')
    this.validateTokens(change)
    const revision = await this.writer.writeChange(change)
    this.exchange.applyRevisions([revision])
    this.dependencies.logger.recordInfo('contract change accepted', { account: revision.account, revision: revision.revision, operator: revision.operator })
    return revision
  }

  /**
   * The newest revision, deletions included, from the service; in an outage the one known here. An operator
   * thus sees a change that another host has accepted, even before it has spread.
   */
  async readRevision (account: string): Promise<{ readonly revision: ContractRevision | undefined, readonly isConfirmed: boolean }> {
    try {
      const stored = await this.writer.read(account)
      if (stored) this.exchange.applyRevisions([stored])
      return { revision: this.store.findRevision(account), isConfirmed: true }
    } catch {
      return { revision: this.store.findRevision(account), isConfirmed: this.isConfirmed() }
    }
  }

  async listHistory (account: string): Promise<readonly ContractRevision[]> {
    return await this.writer.listHistory(account)
  }

  async readStatus (account: string): Promise<ContractStatus> {
    const local = { revision: this.store.findRevision(account)?.revision ?? 0, confirmedAgeMs: this.computeConfirmedAgeMs() }
    return await readContractStatus(account, this.writer, this.dependencies.membership, this.dependencies.transport, local)
  }

  private async loadOnce (): Promise<boolean> {
    try {
      await this.watcher.loadContracts()
      return true
    } catch {
      this.dependencies.logger.recordWarning('the key-value service does not answer; contracts are asked of peers')
      return await this.exchange.loadFromPeers()
    }
  }

  private runPeriod (): void {
    const nowMs = this.dependencies.clock.readMonotonicMs()
    this.confirmation.observePeriod(nowMs)
    this.dependencies.metrics.setGauge('contract_confirmed_age_ms', {}, this.confirmation.computeAgeMs(nowMs))
    this.exchange.runDigestExchange().catch(() => {})
  }

  // A token must name one account; a race between two hosts is decided by the store in the same way everywhere.
  private validateTokens (change: ContractChange): void {
    const faults = (change.contract?.tokenDigests ?? []).flatMap((digest, i) => {
      const owner = this.store.findByTokenDigest(digest)
      if (!owner || owner.account === change.account) return []
      return [{ path: `tokenDigests.${i}`, message: 'belongs to another account' }]
    })
    if (faults.length > 0) throw new InvalidContractError(faults)
  }
}

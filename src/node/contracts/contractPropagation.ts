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

/** Accepts contract changes and keeps the contracts of this host in sync with the key-value service. */
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

  /** Loads the contracts from the service or, during an outage, from peers. Resolves once they are loaded. */
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

  /** Whether the contracts were confirmed within the last 10 s. Otherwise this host accepts no contract changes. */
  isConfirmed (): boolean {
    return this.confirmation.isConfirmed(this.dependencies.clock.readMonotonicMs())
  }

  /** Milliseconds since the contracts were last confirmed; -1 if never. */
  computeConfirmedAgeMs (): number {
    return this.confirmation.computeAgeMs(this.dependencies.clock.readMonotonicMs())
  }

  /**
   * Accepts a change and starts to propagate it. Throws `HostUnconfirmedError`, `InvalidContractError` and
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
   * Reads the newest revision, which may be a deletion, from the service; during an outage it returns the one known to
   * this host. An operator therefore sees a change accepted by another host even before it has propagated.
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
      this.dependencies.logger.recordWarning('key-value service is unavailable; loading contracts from peers')
      return await this.exchange.loadFromPeers()
    }
  }

  private runPeriod (): void {
    const nowMs = this.dependencies.clock.readMonotonicMs()
    this.confirmation.observePeriod(nowMs)
    this.dependencies.metrics.setGauge('contract_confirmed_age_ms', {}, this.confirmation.computeAgeMs(nowMs))
    this.exchange.runDigestExchange().catch(() => {})
  }

  // A token may belong to one account only. If two hosts accept conflicting changes at once, `findByTokenDigest` chooses
  // the same account on every host.
  private validateTokens (change: ContractChange): void {
    const faults = (change.contract?.tokenDigests ?? []).flatMap((digest, i) => {
      const owner = this.store.findByTokenDigest(digest)
      if (!owner || owner.account === change.account) return []
      return [{ path: `tokenDigests.${i}`, message: 'belongs to another account' }]
    })
    if (faults.length > 0) throw new InvalidContractError(faults)
  }
}

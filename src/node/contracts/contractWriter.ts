import { v7 as createId } from 'uuid'
import { KeyValueUncertainError } from '../../shared/keyValueUncertainError.js'
import { KeyValueUnavailableError } from '../../shared/keyValueUnavailableError.js'
import type { Clock } from '../../types/clock.js'
import type { ContractChange } from '../../types/contractChange.js'
import type { ContractRevision } from '../../types/contractRevision.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Scheduler } from '../../types/scheduler.js'
import { contractConstants } from './constants.js'
import { ContractChangeUncertainError } from './contractChangeUncertainError.js'
import { encodeRevision } from './encodeRevision.js'
import { parseRecentTokens } from './parseRecentTokens.js'
import { parseRevision } from './parseRevision.js'
import { RevisionConflictError } from './revisionConflictError.js'

interface StoredContract {
  readonly version: number
  readonly revision: ContractRevision | undefined
  readonly tokens: ReadonlyArray<{ readonly revision: number, readonly token: string }>
}

/** Writes contract changes to the key-value service with compare-and-swap and maintains their history. */
export class ContractWriter {
  constructor (private readonly service: KeyValueService, private readonly clock: Clock, private readonly scheduler: Scheduler) {}

  /**
   * Writes a change and resolves to the accepted revision. Throws `RevisionConflictError` with the current
   * revision, `KeyValueUnavailableError` if the change was definitely not accepted and
   * `ContractChangeUncertainError` if the outcome is still unknown after 5 s.
   */
  async writeChange (change: ContractChange): Promise<ContractRevision> {
    const revision = this.buildRevision(change)
    const stored = await this.readStored(change.account)
    const current = stored.revision?.revision ?? 0
    if (current !== change.expectedRevision) throw new RevisionConflictError(change.account, current)
    // The history entry of the current revision is missing if the host that accepted it died before writing it.
    if (stored.revision) await this.writeHistory(stored.revision)
    await this.writeUntilOutcomeKnown(revision, stored)
    await this.writeHistory(revision).catch(() => {})
    await this.removeOldHistory(revision).catch(() => {})
    return revision
  }

  /** The last 50 stored revisions of an account, oldest first. */
  async listHistory (account: string): Promise<readonly ContractRevision[]> {
    const { entries } = await this.service.list(`${contractConstants.historyPrefix}${account}/`)
    const current = await this.service.read(contractConstants.keyPrefix + account)
    const texts = entries.map(entry => entry.value).concat(current ? [current.value] : [])
    const revisions = new Map(texts.flatMap(text => {
      const revision = parseRevision(text)
      return revision ? [[revision.revision, revision] as const] : []
    }))
    return [...revisions.values()].sort((a, b) => a.revision - b.revision).slice(-contractConstants.maxHistoryRevisions)
  }

  async read (account: string): Promise<ContractRevision | undefined> {
    return (await this.readStored(account)).revision
  }

  // Repeats the write with the same expected version until its outcome is known. At most one attempt takes effect;
  // any later one fails the version check.
  private async writeUntilOutcomeKnown (revision: ContractRevision, before: StoredContract): Promise<void> {
    const endMs = this.clock.readMonotonicMs() + contractConstants.outcomeTimeoutMs
    const recent = [...before.tokens].slice(-contractConstants.maxRecentTokens)
    const value = encodeRevision(revision, recent)
    const key = contractConstants.keyPrefix + revision.account
    let isUncertain = false
    for (let round = 0; round < contractConstants.maxWriteRounds; round++) {
      try {
        if ((await this.service.compareAndSwap(key, before.version, value)).swapped) return
        const current = await this.readStored(revision.account)
        if (current.tokens.some(entry => entry.token === revision.token)) return
        throw new RevisionConflictError(revision.account, current.revision?.revision ?? 0)
      } catch (error) {
        if (error instanceof RevisionConflictError) throw error
        if (error instanceof KeyValueUncertainError) isUncertain = true
        else if (!isUncertain && error instanceof KeyValueUnavailableError) throw error
        if (this.clock.readMonotonicMs() >= endMs) break
        await this.waitForRetry()
      }
    }
    throw new ContractChangeUncertainError(`it is not known whether revision ${revision.revision} of ${revision.account} was accepted`)
  }

  private async readStored (account: string): Promise<StoredContract> {
    const entry = await this.service.read(contractConstants.keyPrefix + account)
    if (!entry) return { version: 0, revision: undefined, tokens: [] }
    const revision = parseRevision(entry.value)
    if (!revision) throw new KeyValueUnavailableError(`the stored contract of ${account} is unreadable`)
    return { version: entry.version, revision, tokens: [...parseRecentTokens(entry.value), { revision: revision.revision, token: revision.token }] }
  }

  private async writeHistory (revision: ContractRevision): Promise<void> {
    await this.service.compareAndSwap(formatHistoryKey(revision.account, revision.revision), 0, encodeRevision(revision)).catch((error: unknown) => {
      // If no response arrived, the next change writes this history entry again.
      if (!(error instanceof KeyValueUncertainError)) throw error
    })
  }

  private async removeOldHistory (revision: ContractRevision): Promise<void> {
    const old = revision.revision - contractConstants.maxHistoryRevisions
    if (old >= 1) await this.service.remove(formatHistoryKey(revision.account, old), 1)
  }

  private buildRevision (change: ContractChange): ContractRevision {
    return {
      account: change.account,
      revision: change.expectedRevision + 1,
      contract: change.contract,
      operator: change.operator,
      atMs: this.clock.readWallMs(),
      token: createId()
    }
  }

  private async waitForRetry (): Promise<void> {
    await new Promise<void>(resolve => { this.scheduler.schedule(contractConstants.outcomeRetryMs, resolve) })
  }
}

function formatHistoryKey (account: string, revision: number): string {
  return `${contractConstants.historyPrefix}${account}/${revision}`
}

import { buildRequestKey } from './buildRequestKey.js'
import { requestConstants } from './constants.js'
import { ExpiryQueue } from './expiryQueue.js'
import type { Registration } from './registration.js'
import type { RegistrationResult } from './registrationResult.js'

interface DirectoryEntry {
  readonly key: string
  readonly registration: Registration
}

const unknownRequest: RegistrationResult = { accepted: false, ownerId: '', epoch: 0, bodyHash: '', finished: false }

/** The share of the request directory that this host holds. Soft state: owners register again when it moves. */
export class RequestDirectory {
  private readonly entries = new Map<string, DirectoryEntry>()
  private readonly queue = new ExpiryQueue<DirectoryEntry>()

  /**
   * Accepts a new request, news from the present owner, a newer epoch, and a takeover from the present
   * owner; describes the present owner otherwise.
   */
  register (registration: Registration, nowMs: number): RegistrationResult {
    const key = buildRequestKey(registration.identity.account, registration.identity.requestId)
    const present = this.entries.get(key)?.registration
    if (present !== undefined && !this.isAcceptable(present, registration)) return this.buildResult(present, false)
    const hint = registration.hint ?? (present?.epoch === registration.epoch ? present.hint : undefined)
    const previousHint = present?.hint
    const entry = { key, registration: { ...registration, hint } }
    this.entries.set(key, entry)
    this.queue.add(entry, nowMs)
    this.removeExpired(nowMs)
    const accepted = this.buildResult({ ...registration, hint }, true)
    return registration.takeoverFrom === undefined ? accepted : { ...accepted, hint: previousHint ?? hint }
  }

  find (account: string, requestId: string): RegistrationResult {
    const entry = this.entries.get(buildRequestKey(account, requestId))
    return entry === undefined ? unknownRequest : this.buildResult(entry.registration, false)
  }

  list (): readonly Registration[] {
    return [...this.entries.values()].map(entry => entry.registration)
  }

  private isAcceptable (present: Registration, offered: Registration): boolean {
    if (present.identity.bodyHash !== offered.identity.bodyHash) return false
    if (present.ownerId === offered.ownerId) return offered.epoch >= present.epoch
    if (offered.epoch <= present.epoch) return false
    return offered.takeoverFrom === undefined || offered.takeoverFrom === present.ownerId
  }

  private buildResult (registration: Registration, accepted: boolean): RegistrationResult {
    const { ownerId, epoch, identity, hint, finished } = registration
    return { accepted, ownerId, epoch, bodyHash: identity.bodyHash, hint, finished }
  }

  private removeExpired (nowMs: number): void {
    for (let oldest = this.queue.findOldest(); oldest !== undefined; oldest = this.queue.findOldest()) {
      const { value, addedAtMs } = oldest
      const isLatest = this.entries.get(value.key) === value
      const isWithinBounds = this.entries.size <= requestConstants.maxDirectoryEntries
      if (isLatest && isWithinBounds && nowMs - addedAtMs < requestConstants.directoryEntryLifetimeMs) return
      this.queue.removeOldest()
      if (isLatest) this.entries.delete(value.key)
    }
  }
}

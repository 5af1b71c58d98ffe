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

/**
 * This host's part of the request directory. It is soft state: owners register again when the directory hosts change.
 */
export class RequestDirectory {
  private readonly entries = new Map<string, DirectoryEntry>()
  private readonly expiryQueue = new ExpiryQueue<DirectoryEntry>()

  /**
   * Accepts a new request, an update by the current owner, a newer epoch, and a takeover from the current owner.
   * Otherwise returns the current owner.
   */
  register (registration: Registration, nowMs: number): RegistrationResult {
    const key = buildRequestKey(registration.identity.account, registration.identity.requestId)
    const current = this.entries.get(key)?.registration
    if (current !== undefined && !this.isAcceptable(current, registration)) return this.buildResult(current, false)
    const hint = registration.hint ?? (current?.epoch === registration.epoch ? current.hint : undefined)
    const previousHint = current?.hint
    const entry = { key, registration: { ...registration, hint } }
    this.entries.set(key, entry)
    this.expiryQueue.add(entry, nowMs)
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

  private isAcceptable (current: Registration, proposed: Registration): boolean {
    if (current.identity.bodyHash !== proposed.identity.bodyHash) return false
    if (current.ownerId === proposed.ownerId) return proposed.epoch >= current.epoch
    if (proposed.epoch <= current.epoch) return false
    return proposed.takeoverFrom === undefined || proposed.takeoverFrom === current.ownerId
  }

  private buildResult (registration: Registration, accepted: boolean): RegistrationResult {
    const { ownerId, epoch, identity, hint, finished } = registration
    return { accepted, ownerId, epoch, bodyHash: identity.bodyHash, hint, finished }
  }

  private removeExpired (nowMs: number): void {
    for (let oldest = this.expiryQueue.findOldest(); oldest !== undefined; oldest = this.expiryQueue.findOldest()) {
      const { value, addedAtMs } = oldest
      const isLatest = this.entries.get(value.key) === value
      const isWithinLimit = this.entries.size <= requestConstants.maxDirectoryEntries
      if (isLatest && isWithinLimit && nowMs - addedAtMs < requestConstants.directoryEntryLifetimeMs) return
      this.expiryQueue.removeOldest()
      if (isLatest) this.entries.delete(value.key)
    }
  }
}

import { buildRequestKey } from './buildRequestKey.js'
import { requestConstants } from './constants.js'
import type { Registration } from './registration.js'
import type { RegistrationResult } from './registrationResult.js'

interface DirectoryEntry {
  readonly registration: Registration
  readonly updatedMs: number
}

const unknownRequest: RegistrationResult = { accepted: false, ownerId: '', epoch: 0, bodyHash: '', finished: false }

/** The share of the request directory that this host holds. Soft state: owners register again when it moves. */
export class RequestDirectory {
  private readonly entries = new Map<string, DirectoryEntry>()

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
    // Re-inserted at the end, so that the map stays in order of age.
    this.entries.delete(key)
    this.entries.set(key, { registration: { ...registration, hint }, updatedMs: nowMs })
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
    for (const [key, entry] of this.entries) {
      const isWithinBounds = this.entries.size <= requestConstants.maxDirectoryEntries
      if (isWithinBounds && nowMs - entry.updatedMs < requestConstants.directoryEntryLifetimeMs) return
      this.entries.delete(key)
    }
  }
}

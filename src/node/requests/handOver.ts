import { setTimeout as waitTime } from 'node:timers/promises'
import type { Clock } from '../../types/clock.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { lycheetrack as messages } from '../peers/generated/peer.js'
import { peerMethods } from '../peers/peerMethods.js'
import { requestConstants } from './constants.js'
import { decodeRegistration } from './decodeRegistration.js'
import type { DirectoryClient } from './directoryClient.js'
import { encodeRegistration } from './encodeRegistration.js'
import type { Registration } from './registration.js'
import type { AnswerRelay } from './answerRelay.js'
import type { RequestDirectory } from './requestDirectory.js'
import { RequestEntry } from './requestEntry.js'
import type { RequestRegistry } from './requestRegistry.js'

interface HandOverOptions {
  readonly clock: Clock
  readonly membership: MembershipView
  readonly transport: PeerTransport
  readonly registry: RequestRegistry
  readonly directory: RequestDirectory
  readonly directoryClient: DirectoryClient
  readonly relay: AnswerRelay
}

/**
 * Transfers directory entries and finished answers to other hosts before this host stops. A finished answer is sent
 * as a registration of its owner; the receiver then reads the answer from the sender and becomes its owner.
 */
export class HandOver {
  constructor (private readonly options: HandOverOptions) {}

  /** Sends all entries. Hosts that do not respond are skipped, since the directory is soft state. */
  async sendAll (): Promise<void> {
    const selfId = this.options.membership.getSelf().id
    const batches = new Map<string, { readonly host: HostRecord, readonly entries: Registration[] }>()
    const add = (registration: Registration, count: number): void => {
      const { account, requestId } = registration.identity
      for (const host of this.options.directoryClient.listDirectoryHosts(account, requestId).filter(host => host.id !== selfId).slice(0, count)) {
        const batch = batches.get(host.id) ?? { host, entries: [] }
        batches.set(host.id, batch)
        batch.entries.push(registration)
      }
    }
    // Directory entries go to both directory hosts, a finished answer to one of them.
    for (const registration of this.options.directory.list()) if (registration.ownerId !== selfId) add(registration, 2)
    for (const entry of this.options.registry.list()) {
      if (entry.role === 'owner' && entry.isEnded) add({ identity: entry.identity, ownerId: selfId, epoch: entry.epoch, finished: true }, 1)
    }
    await Promise.all([...batches.values()].map(async ({ host, entries }) => await this.sendBatch(host, entries)))
  }

  /**
   * Receives entries from a stopping host. Resolves with the number of accepted entries once their answers have been
   * read.
   */
  async receive (request: messages.IHandOverRequest, senderId: string): Promise<number> {
    const registrations = (request.entries ?? []).map(decodeRegistration)
    const results = await Promise.all(registrations.map(async registration => {
      if (registration.finished && registration.ownerId === senderId) return await this.loadAnswer(registration)
      return this.options.directory.register(registration, this.options.clock.readMonotonicMs()).accepted
    }))
    return results.filter(Boolean).length
  }

  private async sendBatch (host: HostRecord, registrations: readonly Registration[]): Promise<void> {
    for (let start = 0; start < registrations.length; start += requestConstants.registrationBatchSize) {
      const entries = registrations.slice(start, start + requestConstants.registrationBatchSize).map(encodeRegistration)
      try {
        await this.options.transport.send(host.peerAddress, peerMethods.handOver, { entries }, requestConstants.handOverTimeoutMs)
      } catch {
        return
      }
    }
  }

  private async loadAnswer (registration: Registration): Promise<boolean> {
    const { membership, registry, relay, clock, directoryClient } = this.options
    const { account, requestId } = registration.identity
    const sender = membership.find(registration.ownerId)
    if (sender === undefined || registry.find(account, requestId) !== undefined) return false
    const entry = new RequestEntry(registration.identity)
    entry.role = 'joined'
    registry.add(entry)
    const timeout = waitTime(requestConstants.handOverAnswerTimeoutMs, 'lost' as const, { ref: false })
    const signal = entry.startActivity()
    await Promise.race([relay.run(entry, sender, signal), timeout])
    if (!entry.isEnded) {
      registry.remove(entry)
      return false
    }
    entry.role = 'owner'
    entry.epoch = registration.epoch + 1
    registry.onFinished(entry, clock.readMonotonicMs())
    await directoryClient.register({ identity: entry.identity, ownerId: membership.getSelf().id, epoch: entry.epoch, finished: true, takeoverFrom: registration.ownerId })
    return true
  }
}

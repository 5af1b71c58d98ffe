import type { GossipEvent } from '../../types/gossipEvent.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { Random } from '../../types/random.js'
import { membershipConstants } from './constants.js'
import { EventBuffer } from './eventBuffer.js'
import { GossipQueue } from './gossipQueue.js'
import { MemberTable } from './memberTable.js'

interface SwimMessage {
  readonly from: HostRecord
  readonly members: readonly HostRecord[]
  readonly events: readonly GossipEvent[]
}

interface ProbeTarget {
  readonly id: string
  readonly peerAddress: string
}

/**
 * The SWIM membership protocol of one host: chooses the hosts to ping, builds the gossip for each message and
 * keeps the state of every host. Does no I/O: monotonic time, randomness and messages are passed in.
 */
export class SwimCore {
  private readonly table = new MemberTable()
  private readonly updateQueue = new GossipQueue<string>()
  private readonly eventBuffer = new EventBuffer()
  private seeds: ReadonlyMap<string, ProbeTarget> = new Map()
  private probeOrder: string[] = []
  private changes: HostRecord[] = []
  private lastActivityMs = -Infinity
  private resumedAtMs = -Infinity
  private hasRejoined = false

  constructor (private self: HostRecord, private readonly random: Random) {}

  getSelf (): HostRecord {
    return this.self
  }

  find (hostId: string): HostRecord | undefined {
    return hostId === this.self.id ? this.self : this.table.find(hostId)
  }

  /** This host and all known hosts that are not dead. */
  listHosts (): readonly HostRecord[] {
    return [this.self, ...this.table.list('live', 'suspect', 'leaving')]
  }

  /** Sets the hosts of the host list as seeds. Seeds are only pinged; they become members once a record of them arrives. */
  setSeeds (seeds: readonly ProbeTarget[]): void {
    this.seeds = new Map(seeds.filter(seed => seed.id !== this.self.id).map(seed => [seed.id, seed]))
  }

  /** Announces a new state of this host. */
  setSelfState (state: 'live' | 'leaving' | 'dead'): void {
    this.updateSelf({ ...this.self, state, incarnation: this.self.incarnation + 1 })
  }

  /** Runs one protocol period: declares hosts dead whose suspicion timed out and returns the hosts to ping. */
  runPeriod (nowMs: number): readonly ProbeTarget[] {
    this.checkForFreeze(nowMs)
    for (const record of this.table.listInStateFor('suspect', membershipConstants.suspicionTimeoutMs, nowMs)) {
      this.applyRecord({ ...record, state: 'dead' }, nowMs)
    }
    for (const record of this.table.listInStateFor('dead', membershipConstants.deadRetentionMs, nowMs)) {
      if (!this.seeds.has(record.id)) this.table.remove(record.id)
    }
    this.eventBuffer.removeExpired(nowMs)
    const member = this.takeNextMember()
    const seeds = this.chooseSeedsToPing(member ? 1 : membershipConstants.startupSeedPings)
    return member ? [member, ...seeds] : seeds
  }

  /** Whether the host list names a host of which no record is known. */
  hasUnknownSeed (): boolean {
    for (const id of this.seeds.keys()) if (!this.table.find(id)) return true
    return false
  }

  /** Chooses the hosts that ping `hostId` on behalf of this host. */
  chooseHelpers (hostId: string): readonly ProbeTarget[] {
    const candidates = this.table.list('live').filter(record => record.id !== hostId)
    return this.chooseRandomly(candidates, membershipConstants.indirectHelpers)
  }

  /** Indirect pings are sent only for members that are live or leaving. */
  isIndirectPingNeeded (hostId: string): boolean {
    const state = this.table.find(hostId)?.state
    return state === 'live' || state === 'leaving'
  }

  /** Suspects `hostId`, because neither the direct ping sent at `sentAtMs` nor the indirect ones were answered. */
  onUnreachable (hostId: string, sentAtMs: number, nowMs: number): void {
    this.checkForFreeze(nowMs)
    // Responses to pings sent before this process was frozen were missed by this host; the target is not at fault.
    if (sentAtMs < this.resumedAtMs) return
    const record = this.table.find(hostId)
    if (record && this.isIndirectPingNeeded(hostId)) this.applyRecord({ ...record, state: 'suspect' }, nowMs)
  }

  /** Builds the gossip for a message to `hostId`, at most `maxMembersPerMessage` members and `maxEventsPerMessage` events. */
  buildMessage (hostId: string | undefined): SwimMessage {
    const maxSends = this.computeMaxSends()
    const target = hostId === undefined ? undefined : this.table.find(hostId)
    // A host that is not considered live gets its own record in every message, otherwise it cannot refute the state.
    const targetRecords = target && target.state !== 'live' ? [target] : []
    const maxUpdates = membershipConstants.maxMembersPerMessage - targetRecords.length
    const updates = this.updateQueue.take(maxUpdates, maxSends).flatMap(id => this.find(id) ?? [])
    return { from: this.self, members: [...targetRecords, ...updates.filter(record => record.id !== hostId)], events: this.eventBuffer.take(maxSends) }
  }

  /** Applies the gossip of a received message. `buildMessage` builds the response. */
  receiveMessage (message: SwimMessage, nowMs: number): void {
    this.checkForFreeze(nowMs)
    this.applyRecord(message.from, nowMs)
    for (const record of message.members) this.applyRecord(record, nowMs)
    for (const event of message.events) if (event.origin !== this.self.id) this.eventBuffer.receive(event, nowMs)
  }

  /**
   * Applies the member table of another host. Only live and leaving hosts are taken from it: after a partition
   * the other host may still consider reachable hosts dead.
   */
  applyTable (records: readonly HostRecord[], nowMs: number): void {
    this.checkForFreeze(nowMs)
    for (const record of records) {
      if (record.id === this.self.id || record.state === 'live' || record.state === 'leaving') this.applyRecord(record, nowMs)
    }
  }

  sendEvent (event: GossipEvent, nowMs: number): void {
    this.eventBuffer.add(event, nowMs)
  }

  takeEvents (): readonly GossipEvent[] {
    return this.eventBuffer.takeReceived()
  }

  /** Returns the records that changed since the last call. */
  takeChanges (): readonly HostRecord[] {
    const changes = this.changes
    this.changes = []
    return changes
  }

  /** Whether a dead host has rejoined since the last call; its table may contain more hosts that are considered dead here. */
  takeRejoined (): boolean {
    const hasRejoined = this.hasRejoined
    this.hasRejoined = false
    return hasRejoined
  }

  private applyRecord (record: HostRecord, nowMs: number): void {
    if (record.id === this.self.id) {
      this.receiveOwnRecord(record)
      return
    }
    const known = this.table.find(record.id)
    if (!this.table.apply(record, nowMs)) return
    // The death of an unknown host is not reported; its record only keeps older messages from adding the host.
    if (!known && record.state === 'dead') return
    if (known?.state === 'dead' && record.state !== 'dead') this.hasRejoined = true
    this.updateQueue.add(record.id, record.id, nowMs)
    this.changes.push(record)
  }

  private receiveOwnRecord (record: HostRecord): void {
    if (record.incarnation < this.self.incarnation) return
    if (record.incarnation === this.self.incarnation && record.state === this.self.state) return
    this.updateSelf({ ...this.self, incarnation: record.incarnation + 1 })
  }

  private updateSelf (record: HostRecord): void {
    this.self = record
    this.changes.push(record)
  }

  // After a freeze the suspicion timeouts start again, because refutations may still wait unread in the sockets.
  private checkForFreeze (nowMs: number): void {
    if (nowMs - this.lastActivityMs > membershipConstants.freezeThresholdMs && this.lastActivityMs !== -Infinity) {
      this.resumedAtMs = nowMs
      this.table.updateChangedAt('suspect', nowMs)
    }
    this.lastActivityMs = Math.max(this.lastActivityMs, nowMs)
  }

  // Members are pinged in shuffled rounds, which bounds the time until each one is pinged.
  private takeNextMember (): HostRecord | undefined {
    for (let round = 0; round < 2; round++) {
      while (this.probeOrder.length > 0) {
        const record = this.table.find(this.probeOrder.pop() as string)
        if (record && record.state !== 'dead') return record
      }
      const members = this.table.list('live', 'suspect', 'leaving')
      this.probeOrder = this.chooseRandomly(members, members.length).map(record => record.id)
    }
    return undefined
  }

  // Listed hosts that are unknown or considered dead are pinged again, so that the two sides of a healed
  // partition find each other.
  private chooseSeedsToPing (count: number): readonly ProbeTarget[] {
    const candidates: ProbeTarget[] = []
    for (const seed of this.seeds.values()) {
      const record = this.table.find(seed.id)
      if (!record || record.state === 'dead') candidates.push(seed)
    }
    return this.chooseRandomly(candidates, count)
  }

  private chooseRandomly<Item> (items: readonly Item[], count: number): Item[] {
    const shuffled = [...items]
    const size = Math.min(count, shuffled.length)
    for (let i = 0; i < size; i++) {
      const j = i + Math.floor(this.random() * (shuffled.length - i))
      const chosen = shuffled[j] as Item
      shuffled[j] = shuffled[i] as Item
      shuffled[i] = chosen
    }
    return shuffled.slice(0, size)
  }

  private computeMaxSends (): number {
    const hosts = this.listHosts().length
    return membershipConstants.retransmitFactor * Math.ceil(Math.log2(hosts + 1))
  }
}

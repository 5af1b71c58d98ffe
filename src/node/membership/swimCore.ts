import type { GossipEvent } from '../../types/gossipEvent.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { Random } from '../../types/random.js'
import { membershipConstants } from './constants.js'
import { EventBuffer } from './eventBuffer.js'
import { MemberTable } from './memberTable.js'
import { GossipQueue } from './gossipQueue.js'

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
 * SWIM membership of one host: who is pinged, what rides on messages and which state each host is in.
 * Pure: local time (one monotonic clock), randomness and messages come from outside.
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

  /** Takes over the host list. Its hosts are only pinged; they become members when they are heard of. */
  setSeeds (seeds: readonly ProbeTarget[]): void {
    this.seeds = new Map(seeds.filter(seed => seed.id !== this.self.id).map(seed => [seed.id, seed]))
  }

  /** Announces a new state of this host. */
  setSelfState (state: 'live' | 'leaving' | 'dead'): void {
    this.updateSelf({ ...this.self, state, incarnation: this.self.incarnation + 1 })
  }

  /** One protocol period: ends suspicions and names the hosts to ping. */
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

  /** Whether a listed host has not been heard of yet. */
  hasUnknownSeed (): boolean {
    for (const id of this.seeds.keys()) if (!this.table.find(id)) return true
    return false
  }

  /** Hosts that ping `hostId` for this host. */
  chooseHelpers (hostId: string): readonly ProbeTarget[] {
    const candidates = this.table.list('live').filter(record => record.id !== hostId)
    return this.chooseRandomly(candidates, membershipConstants.indirectHelpers)
  }

  /** Only members that are up are worth an indirect ping. */
  isIndirectPingNeeded (hostId: string): boolean {
    const state = this.table.find(hostId)?.state
    return state === 'live' || state === 'leaving'
  }

  /** Neither a direct nor an indirect ping sent at `sentAtMs` was answered. */
  onUnreachable (hostId: string, sentAtMs: number, nowMs: number): void {
    this.checkForFreeze(nowMs)
    // The answers of pings sent before this process was frozen were lost by this host, not by the other.
    if (sentAtMs < this.resumedAtMs) return
    const record = this.table.find(hostId)
    if (record && this.isIndirectPingNeeded(hostId)) this.applyRecord({ ...record, state: 'suspect' }, nowMs)
  }

  /** What a message to `hostId` carries; at most a fixed number of entries. */
  buildMessage (hostId: string | undefined): SwimMessage {
    const maxSends = this.computeMaxSends()
    const target = hostId === undefined ? undefined : this.table.find(hostId)
    // A host that is not seen as live must learn it, so that it can refute it.
    const targetRecords = target && target.state !== 'live' ? [target] : []
    const maxUpdates = membershipConstants.maxMembersPerMessage - targetRecords.length
    const updates = this.updateQueue.take(maxUpdates, maxSends).flatMap(id => this.find(id) ?? [])
    return { from: this.self, members: [...targetRecords, ...updates.filter(record => record.id !== hostId)], events: this.eventBuffer.take(maxSends) }
  }

  /** Takes over a message; the answer to it is made by `buildMessage`. */
  receiveMessage (message: SwimMessage, nowMs: number): void {
    this.checkForFreeze(nowMs)
    this.applyRecord(message.from, nowMs)
    for (const record of message.members) this.applyRecord(record, nowMs)
    for (const event of message.events) if (event.origin !== this.self.id) this.eventBuffer.receive(event, nowMs)
  }

  /**
   * Takes over the table of another host. Only hosts that are up are taken: the other host may come out of
   * a partition with a table that calls reachable hosts dead.
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

  /** Records that changed since the last call. */
  takeChanges (): readonly HostRecord[] {
    const changes = this.changes
    this.changes = []
    return changes
  }

  /** Whether a dead host has come back since the last call; its table may hold more of them. */
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
    // A death is news only where the host was known; elsewhere it only keeps older messages out.
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

  // Suspicions that grew old while this process was frozen start again: the refutations wait unread.
  private checkForFreeze (nowMs: number): void {
    if (nowMs - this.lastActivityMs > membershipConstants.freezeThresholdMs && this.lastActivityMs !== -Infinity) {
      this.resumedAtMs = nowMs
      this.table.updateChangedAt('suspect', nowMs)
    }
    this.lastActivityMs = Math.max(this.lastActivityMs, nowMs)
  }

  // A shuffled round over all members bounds the time until each is pinged.
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

  // Listed hosts that are not members, or are held for dead, are tried again: this is how partitions heal.
  private chooseSeedsToPing (count: number): readonly ProbeTarget[] {
    const candidates: ProbeTarget[] = []
    for (const seed of this.seeds.values()) {
      const record = this.table.find(seed.id)
      if (!record || record.state === 'dead') candidates.push(seed)
    }
    return this.chooseRandomly(candidates, count)
  }

  private chooseRandomly<Item> (items: readonly Item[], count: number): Item[] {
    const rest = [...items]
    const size = Math.min(count, rest.length)
    for (let i = 0; i < size; i++) {
      const j = i + Math.floor(this.random() * (rest.length - i))
      const chosen = rest[j] as Item
      rest[j] = rest[i] as Item
      rest[i] = chosen
    }
    return rest.slice(0, size)
  }

  private computeMaxSends (): number {
    const hosts = this.listHosts().length
    return membershipConstants.retransmitFactor * Math.ceil(Math.log2(hosts + 1))
  }
}

import { peerMethods } from '../peers/peerMethods.js'
import { scheduleRepeatedly } from '../../shared/scheduleRepeatedly.js'
import type { Clock } from '../../types/clock.js'
import type { GossipEvent } from '../../types/gossipEvent.js'
import type { GossipEvents } from '../../types/gossipEvents.js'
import type { HostList } from '../../types/hostList.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Metrics } from '../../types/metrics.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { Random } from '../../types/random.js'
import type { Scheduler } from '../../types/scheduler.js'
import { membershipConstants } from './constants.js'
import { parseGossipEvent } from './parseGossipEvent.js'
import { parseMember } from './parseMember.js'
import { SwimCore } from './swimCore.js'

type PingRequest = ReturnType<typeof peerMethods.ping.decodeRequest>
type PingResponse = ReturnType<typeof peerMethods.ping.decodeResponse>

interface ProbeTarget {
  readonly id: string
  readonly peerAddress: string
}

interface MembershipDependencies {
  /** This host, with the start time of the process as its incarnation. */
  readonly self: HostRecord
  readonly transport: PeerTransport
  readonly hostList: HostList
  readonly clock: Clock
  readonly scheduler: Scheduler
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Runs the SWIM protocol (`SwimCore`) over the peer transport, with seeds from the platform's host list. */
export class MembershipDriver implements MembershipView, GossipEvents {
  private readonly core: SwimCore
  private readonly changeListeners = new Set<(host: HostRecord) => void>()
  private readonly eventListeners = new Set<(event: GossipEvent) => void>()
  private cancelTimers: ReadonlyArray<() => void> = []
  private hostListIds: readonly string[] = []
  private sequence = 0
  private lastTableSyncMs = -Infinity
  private startedAtMs = -Infinity

  constructor (private readonly dependencies: MembershipDependencies) {
    this.core = new SwimCore(dependencies.self, dependencies.random)
    dependencies.transport.handle(peerMethods.ping, async (request, peerId) => await this.receivePing(request, peerId))
    dependencies.transport.handle(peerMethods.memberList, () => ({ members: [...this.core.listHosts()] }))
  }

  /** Reads the host list and starts the protocol. Resolves once the first hosts have been pinged. */
  async start (): Promise<void> {
    const { scheduler, random } = this.dependencies
    this.startedAtMs = this.readNow()
    this.cancelTimers = [
      scheduleRepeatedly(scheduler, random, membershipConstants.protocolPeriodMs, 0.1, () => { this.runPeriod() }),
      scheduleRepeatedly(scheduler, random, membershipConstants.hostListPeriodMs, 0.2, () => { this.updateSeeds().catch(() => {}) }),
      scheduleRepeatedly(scheduler, random, membershipConstants.tableSyncPeriodMs, 0.3, () => { this.loadTableFromPeer().catch(() => {}) })
    ]
    await this.updateSeeds()
    await Promise.all(this.core.runPeriod(this.readNow()).map(async target => { await this.runProbe(target) }))
    await this.loadTableFromPeer()
  }

  /** Stops the protocol and reports this host as dead to some peers. */
  async stop (): Promise<void> {
    for (const cancel of this.cancelTimers) cancel()
    this.cancelTimers = []
    this.core.setSelfState('dead')
    await Promise.allSettled(this.core.chooseHelpers('').map(async target => { await this.sendPing(target) }))
  }

  /** Announces that this host is about to stop; it keeps answering its peers. */
  startLeaving (): void {
    this.core.setSelfState('leaving')
    this.reportChanges()
    // Other hosts name this host in route responses until they learn of the change, and gossip alone can take
    // longer than the drain allows. Therefore every host is pinged directly.
    for (const { id, peerAddress, state } of this.core.listHosts()) {
      if (id !== this.dependencies.self.id && state !== 'dead') this.sendPing({ id, peerAddress }).catch(() => {})
    }
  }

  getSelf (): HostRecord {
    return this.core.getSelf()
  }

  listHosts (): readonly HostRecord[] {
    return this.core.listHosts()
  }

  /** Ids of the live entry hosts in the host list, including this one. Rate limits use them during a partition. */
  listHostListIds (): readonly string[] {
    return this.hostListIds
  }

  find (hostId: string): HostRecord | undefined {
    return this.core.find(hostId)
  }

  onChange (listener: (host: HostRecord) => void): () => void {
    this.changeListeners.add(listener)
    return () => { this.changeListeners.delete(listener) }
  }

  sendEvent (type: string, subject: string): void {
    const event = { type, subject, atMs: this.dependencies.clock.readWallMs(), sequence: ++this.sequence, origin: this.dependencies.self.id }
    this.core.sendEvent(event, this.readNow())
  }

  onEvent (listener: (event: GossipEvent) => void): () => void {
    this.eventListeners.add(listener)
    return () => { this.eventListeners.delete(listener) }
  }

  private runPeriod (): void {
    const targets = this.core.runPeriod(this.readNow())
    this.reportChanges()
    for (const target of targets) this.runProbe(target).catch(() => {})
    const sinceStartMs = this.readNow() - this.startedAtMs
    if (sinceStartMs < membershipConstants.startupPhaseMs && this.core.hasUnknownSeed() && this.isTableSyncDue()) this.loadTableFromPeer().catch(() => {})
  }

  private async runProbe (target: ProbeTarget): Promise<void> {
    const sentAtMs = this.readNow()
    if (await this.sendPing(target) || !this.core.isIndirectPingNeeded(target.id)) return
    const helpers = this.core.chooseHelpers(target.id)
    const reached = await Promise.all(helpers.map(async helper => await this.sendIndirectPing(helper, target)))
    if (reached.includes(true)) return
    this.core.onUnreachable(target.id, sentAtMs, this.readNow())
    this.reportChanges()
  }

  private async sendPing (target: ProbeTarget): Promise<boolean> {
    const request = buildWireMessage(this.core, target.id)
    const response = await this.dependencies.transport.send(target.peerAddress, peerMethods.ping, request, membershipConstants.pingTimeoutMs).catch(() => undefined)
    if (!response) return false
    this.receiveMessage(response)
    // Another host may now use this address.
    return response.from?.id === target.id
  }

  private async sendIndirectPing (helper: ProbeTarget, target: ProbeTarget): Promise<boolean> {
    const request = { ...buildWireMessage(this.core, helper.id), targetId: target.id, targetPeerAddress: target.peerAddress }
    const response = await this.dependencies.transport.send(helper.peerAddress, peerMethods.ping, request, membershipConstants.indirectPingTimeoutMs).catch(() => undefined)
    if (response) this.receiveMessage(response)
    return response?.reached === true
  }

  private async receivePing (request: PingRequest, peerId: string): Promise<PingResponse> {
    if (request.from?.id === peerId) this.receiveMessage(request)
    const targetAddress = request.targetPeerAddress ?? ''
    const reached = targetAddress === '' || await this.sendPing({ id: request.targetId ?? '', peerAddress: targetAddress })
    return { ...buildWireMessage(this.core, peerId), reached }
  }

  private receiveMessage (message: PingRequest | PingResponse): void {
    const from = parseMember(message.from)
    if (!from) return
    const members = (message.members ?? []).flatMap(member => parseMember(member) ?? [])
    const events = (message.events ?? []).flatMap(event => parseGossipEvent(event) ?? [])
    this.core.receiveMessage({ from, members, events }, this.readNow())
    this.reportChanges()
  }

  private async updateSeeds (): Promise<void> {
    try {
      const entries = (await this.dependencies.hostList.read()).filter(entry => entry.role === 'entry')
      const liveIds = entries.filter(entry => entry.state === 'live').map(entry => entry.id)
      this.hostListIds = [...new Set(liveIds.concat(this.dependencies.self.id))]
      this.core.setSeeds(entries.flatMap(({ id, peerAddress }) => peerAddress ? [{ id, peerAddress }] : []))
    } catch {
      this.dependencies.logger.recordWarning('host list is not available; keeping the known hosts')
    }
  }

  private async loadTableFromPeer (): Promise<void> {
    this.lastTableSyncMs = this.readNow()
    const peer = this.core.chooseHelpers('')[0]
    if (!peer) return
    const response = await this.dependencies.transport.send(peer.peerAddress, peerMethods.memberList, {}, membershipConstants.tableSyncTimeoutMs).catch(() => undefined)
    this.core.applyTable((response?.members ?? []).flatMap(member => parseMember(member) ?? []), this.readNow())
    this.reportChanges()
  }

  private reportChanges (): void {
    for (const record of this.core.takeChanges()) {
      this.dependencies.logger.recordInfo('host changed state', { host: record.id, state: record.state, incarnation: record.incarnation })
      for (const listener of this.changeListeners) listener(record)
    }
    for (const event of this.core.takeEvents()) for (const listener of this.eventListeners) listener(event)
    this.dependencies.metrics.setGauge('membership_hosts', {}, this.core.listHosts().length)
    if (this.core.takeRejoined() && this.isTableSyncDue()) this.loadTableFromPeer().catch(() => {})
  }

  private isTableSyncDue (): boolean {
    return this.readNow() - this.lastTableSyncMs > membershipConstants.minTableSyncIntervalMs
  }

  private readNow (): number {
    return this.dependencies.clock.readMonotonicMs()
  }
}

function buildWireMessage (core: SwimCore, hostId: string): { from: HostRecord, members: HostRecord[], events: GossipEvent[] } {
  const message = core.buildMessage(hostId)
  return { from: message.from, members: [...message.members], events: [...message.events] }
}

import { peerMethods } from '../peers/peerMethods.js'
import type { Clock } from '../../types/clock.js'
import type { ContractRevision } from '../../types/contractRevision.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { Random } from '../../types/random.js'
import { chooseWatchers } from './chooseWatchers.js'
import type { ConfirmationState } from './confirmationState.js'
import { contractConstants } from './constants.js'
import type { ContractStore } from './contractStore.js'
import { encodeRevision } from './encodeRevision.js'
import { HostNotReadyError } from './hostNotReadyError.js'
import { parseRevision } from './parseRevision.js'

type DigestResponse = ReturnType<typeof peerMethods.contractDigest.decodeResponse>

interface ExchangeDependencies {
  readonly store: ContractStore
  readonly transport: PeerTransport
  readonly membership: MembershipView
  readonly confirmation: ConfirmationState
  readonly clock: Clock
  readonly random: Random
  /** Whether this host has loaded its contracts and may serve them to other hosts. */
  readonly isReady: () => boolean
}

/** Exchanges contract revisions between hosts: pushes new ones, compares digests and pulls what differs. */
export class ContractExchange {
  constructor (private readonly dependencies: ExchangeDependencies) {
    const { transport, store, confirmation, clock } = dependencies
    transport.handle(peerMethods.pushContracts, request => {
      return { applied: this.applyRevisions((request.revisions ?? []).flatMap(text => parseRevision(text) ?? []), (request.hops ?? 0) + 1) }
    })
    transport.handle(peerMethods.contractDigest, request => this.buildDigestResponse(request.buckets ?? []))
    transport.handle(peerMethods.pullContracts, request => ({ revisions: this.encodeRevisions(request.accounts ?? []) }))
    transport.handle(peerMethods.contractInForce, request => ({
      revision: store.findRevision(request.account ?? '')?.revision ?? 0,
      confirmedAgeMs: confirmation.computeAgeMs(clock.readMonotonicMs())
    }))
  }

  /** Applies revisions and pushes the new ones to other hosts; returns the number of new ones. */
  applyRevisions (revisions: readonly ContractRevision[], hops = 0): number {
    const applied = revisions.filter(revision => this.dependencies.store.apply(revision))
    if (applied.length > 0 && applied.length <= contractConstants.maxRevisionsPerPush) this.sendToRandomPeers(applied, hops)
    return applied.length
  }

  /** Compares digests with one host and exchanges the revisions that differ. */
  async runDigestExchange (): Promise<void> {
    const peer = this.choosePeer()
    if (!peer) return
    await this.runExchangeWith(peer)
  }

  /** Loads the contracts from peers, for a start during an outage of the service. Returns true if at least one peer answered. */
  async loadFromPeers (): Promise<boolean> {
    const peers = this.chooseRandomPeers(contractConstants.startupPeers)
    const results = await Promise.all(peers.map(async peer => await this.runExchangeWith(peer).then(() => true, () => false)))
    return results.includes(true)
  }

  private async runExchangeWith (peer: HostRecord): Promise<void> {
    const { clock, confirmation, store, transport } = this.dependencies
    const sentAtMs = clock.readMonotonicMs()
    const request = { buckets: [...store.listBucketDigests()], confirmedAgeMs: confirmation.computeAgeMs(sentAtMs) }
    const response = await transport.send(peer.peerAddress, peerMethods.contractDigest, request, contractConstants.peerTimeoutMs)
    await this.loadMissingRevisions(peer, response)
    await this.sendNewerRevisions(peer, response)
    // The peer computed its age after `sentAtMs`, so its contracts were confirmed at `sentAtMs - ageMs` or later.
    const ageMs = response.confirmedAgeMs ?? -1
    if (ageMs >= 0) confirmation.onConfirmed(sentAtMs - ageMs)
  }

  private async loadMissingRevisions (peer: HostRecord, response: DigestResponse): Promise<void> {
    const isMissing = (account: string, revision: number): boolean => (this.dependencies.store.findRevision(account)?.revision ?? 0) < revision
    const announced = (response.accounts ?? []).map(entry => ({ account: entry.account ?? '', revision: Number(entry.revision) }))
    let missing = announced.filter(entry => isMissing(entry.account, entry.revision))
    while (missing.length > 0) {
      const accounts = missing.slice(0, contractConstants.maxAccountsPerPull).map(entry => entry.account)
      const pulled = await this.dependencies.transport.send(peer.peerAddress, peerMethods.pullContracts, { accounts }, contractConstants.pullTimeoutMs)
      this.applyRevisions((pulled.revisions ?? []).flatMap(text => parseRevision(text) ?? []))
      const remaining = missing.filter(entry => isMissing(entry.account, entry.revision))
      // If the peer withholds a revision, the exchange must fail, so that it does not count as a confirmation.
      if (remaining.length === missing.length) throw new HostNotReadyError(`${peer.id} did not deliver the contracts that it announced`)
      missing = remaining
    }
  }

  private async sendNewerRevisions (peer: HostRecord, response: DigestResponse): Promise<void> {
    const peerRevisions = new Map((response.accounts ?? []).map(entry => [entry.account ?? '', Number(entry.revision)]))
    const ownRevisions = (response.differingBuckets ?? []).flatMap(bucket => this.dependencies.store.listBucketRevisions(bucket))
    const newer = ownRevisions.filter(revision => revision.revision > (peerRevisions.get(revision.account) ?? 0))
    if (newer.length === 0) return
    const revisions = newer.slice(0, contractConstants.maxRevisionsPerPush).map(revision => encodeRevision(revision))
    await this.dependencies.transport.send(peer.peerAddress, peerMethods.pushContracts, { revisions, hops: 0 }, contractConstants.pullTimeoutMs)
  }

  private buildDigestResponse (buckets: readonly number[]): DigestResponse {
    const { store, confirmation, clock, isReady } = this.dependencies
    if (!isReady()) throw new HostNotReadyError('this host has not loaded its contracts yet')
    const differing = store.listBucketDigests().flatMap((digest, bucket) => digest === buckets[bucket] ? [] : [bucket])
    const accounts = differing.flatMap(bucket => store.listBucketRevisions(bucket).map(({ account, revision }) => ({ account, revision })))
    return { differingBuckets: differing, accounts, confirmedAgeMs: confirmation.computeAgeMs(clock.readMonotonicMs()) }
  }

  private encodeRevisions (accounts: readonly string[]): string[] {
    const texts: string[] = []
    let bytes = 0
    for (const account of accounts) {
      const revision = this.dependencies.store.findRevision(account)
      if (!revision) continue
      const text = encodeRevision(revision)
      bytes += text.length
      if (texts.length > 0 && bytes > contractConstants.maxPullBytes) break
      texts.push(text)
    }
    return texts
  }

  private sendToRandomPeers (revisions: readonly ContractRevision[], hops: number): void {
    const request = { revisions: revisions.map(revision => encodeRevision(revision)), hops }
    for (const peer of this.chooseRandomPeers(contractConstants.pushFanout)) {
      this.dependencies.transport.send(peer.peerAddress, peerMethods.pushContracts, request, contractConstants.peerTimeoutMs).catch(() => {})
    }
  }

  // Confirmations originate at the watchers; a host without a recent one contacts a watcher directly.
  private choosePeer (): HostRecord | undefined {
    const { membership, confirmation, clock, random } = this.dependencies
    const ageMs = confirmation.computeAgeMs(clock.readMonotonicMs())
    if (ageMs >= 0 && ageMs <= contractConstants.askWatcherAfterMs) return this.chooseRandomPeers(1)[0]
    const self = membership.getSelf()
    const domains = [...new Set(membership.listHosts().map(host => host.failureDomain))]
    // Half of the requests go to a random failure domain, because this host's own may be cut off from the service.
    const domain = random() < 0.5 ? self.failureDomain : domains[Math.floor(random() * domains.length)]
    const watchers = chooseWatchers(domain ?? '', membership.listHosts()).filter(id => id !== self.id)
    const watcher = membership.find(watchers[Math.floor(random() * watchers.length)] ?? '')
    return watcher ?? this.chooseRandomPeers(1)[0]
  }

  private chooseRandomPeers (count: number): readonly HostRecord[] {
    const { membership, random } = this.dependencies
    const self = membership.getSelf().id
    const candidates = membership.listHosts().filter(host => host.id !== self && host.state !== 'suspect')
    const chosen: HostRecord[] = []
    while (chosen.length < count && candidates.length > 0) chosen.push(...candidates.splice(Math.floor(random() * candidates.length), 1))
    return chosen
  }
}

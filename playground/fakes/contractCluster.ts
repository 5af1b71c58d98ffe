import { createContracts } from '../../src/node/contracts/createContracts.js'
import { RevisionConflictError } from '../../src/node/contracts/revisionConflictError.js'
import type { Contract } from '../../src/types/contract.js'
import type { KeyValueService } from '../../src/types/keyValueService.js'
import type { PeerTransport } from '../../src/types/peerTransport.js'
import { createSilentLogger } from './createSilentLogger.js'
import { createMemoryMetrics } from './createMemoryMetrics.js'
import { HostKeyValueService } from './hostKeyValueService.js'
import { MembershipCluster } from './membershipCluster.js'
import { MemoryKeyValueService } from './memoryKeyValueService.js'
import { validateRevisionHistory } from './validateRevisionHistory.js'

type Calls = Parameters<typeof validateRevisionHistory>[0]
type Observations = Parameters<typeof validateRevisionHistory>[1]

/** Wraps dependencies of the hosts, so that a test can disable one mechanism. */
interface ClusterOverrides {
  readonly wrapTransport?: (transport: PeerTransport) => PeerTransport
  readonly wrapService?: (service: KeyValueService, hostId: string) => KeyValueService
}

/** Hosts with membership and contracts under virtual time; records the changes of operators and the revisions that hosts apply. */
export class ContractCluster extends MembershipCluster {
  readonly service = new MemoryKeyValueService()
  readonly contracts = new Map<string, ReturnType<typeof createContracts>>()
  readonly keyValueConnections = new Map<string, HostKeyValueService>()
  private readonly operatorCalls: Array<Calls[number]> = []
  private readonly observations: Array<Observations[number]> = []

  constructor (seed: number, private readonly overrides: ClusterOverrides = {}) {
    super(seed)
  }

  override addHost (id: string): ReturnType<MembershipCluster['addHost']> {
    const host = super.addHost(id)
    const connection = new HostKeyValueService(this.service, host.scheduler)
    this.keyValueConnections.set(id, connection)
    const contracts = createContracts({
      service: this.overrides.wrapService?.(connection, id) ?? connection,
      transport: this.overrides.wrapTransport?.(host.transport) ?? host.transport,
      membership: host.membership,
      clock: this.clock,
      scheduler: host.scheduler,
      random: this.random,
      logger: createSilentLogger(),
      metrics: createMemoryMetrics()
    })
    contracts.store.onApplied(({ account, revision, token }) => {
      this.observations.push({ host: id, account, revision, token, atMs: this.clock.readMonotonicMs() })
    })
    this.contracts.set(id, contracts)
    contracts.start().catch(() => {})
    return host
  }

  /** Sends a contract change of an operator to one host; resolves with the accepted revision or an error code. */
  async writeChange (hostId: string, account: string, expectedRevision: number, isDeletion = false): Promise<number | string> {
    const startMs = this.clock.readMonotonicMs()
    const base = { account, expectedRevision, startMs }
    const contract: Contract | null = isDeletion ? null : { account, tokenDigests: [], requestsPerSecond: 1, tokensPerSecond: 1, kinds: {} }
    try {
      const { revision } = await (this.contracts.get(hostId) as ReturnType<typeof createContracts>).writeChange({ account, contract, expectedRevision, operator: hostId })
      this.operatorCalls.push({ ...base, endMs: this.clock.readMonotonicMs(), accepted: revision })
      return revision
    } catch (error) {
      const { code } = error as { code: string }
      const endMs = this.clock.readMonotonicMs()
      if (error instanceof RevisionConflictError) this.operatorCalls.push({ ...base, endMs, conflict: error.revision })
      else this.operatorCalls.push({ ...base, endMs, isUncertain: code === 'contract_change_uncertain' })
      return code
    }
  }

  /** Sends a contract change and runs the virtual clock until it ends, for at most 20 s; `open` if it has not ended by then. */
  async runChange (hostId: string, account: string, expectedRevision: number, isDeletion = false): Promise<number | string> {
    let result: number | string | undefined
    this.writeChange(hostId, account, expectedRevision, isDeletion).then(value => { result = value }, () => { result = 'failed' })
    await this.runUntil(() => result !== undefined, 20_000)
    return result ?? 'open'
  }

  /** Returns whether the last revision of the account on each of `hosts` is `revision`; a deletion counts as a revision. */
  isInForce (account: string, revision: number, hosts: Iterable<string> = this.contracts.keys()): boolean {
    return [...hosts].every(id => (this.contracts.get(id)?.store.findRevision(account)?.revision ?? 0) === revision)
  }

  /** Adds an observation that no host made, to test `validateHistory` itself. */
  addObservation (observation: Observations[number]): void {
    this.observations.push(observation)
  }

  /** Returns the violations in the recorded history, see `validateRevisionHistory`. */
  validateHistory (): readonly string[] {
    return validateRevisionHistory(this.operatorCalls, this.observations)
  }
}

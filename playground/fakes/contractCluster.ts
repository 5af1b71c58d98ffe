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

/** Replaces collaborators of the hosts, so that a test can switch one mechanism off. */
interface ClusterOverrides {
  readonly wrapTransport?: (transport: PeerTransport) => PeerTransport
  readonly wrapService?: (service: KeyValueService, hostId: string) => KeyValueService
}

/** Hosts with membership and contracts under virtual time; records what operators and hosts see. */
export class ContractCluster extends MembershipCluster {
  readonly service = new MemoryKeyValueService()
  readonly contracts = new Map<string, ReturnType<typeof createContracts>>()
  readonly keyValueConnections = new Map<string, HostKeyValueService>()
  private readonly calls: Array<Calls[number]> = []
  private readonly observations: Array<Observations[number]> = []

  constructor (seed: number, private readonly overrides: ClusterOverrides = {}) {
    super(seed)
  }

  override addHost (id: string): ReturnType<MembershipCluster['addHost']> {
    const host = super.addHost(id)
    const link = new HostKeyValueService(this.service, host.scheduler)
    this.keyValueConnections.set(id, link)
    const contracts = createContracts({
      service: this.overrides.wrapService?.(link, id) ?? link,
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

  /** An operator's change at one host; resolves to the accepted revision or the code of the refusal. */
  async writeChange (hostId: string, account: string, expectedRevision: number, isDeletion = false): Promise<number | string> {
    const startMs = this.clock.readMonotonicMs()
    const base = { account, expectedRevision, startMs }
    const contract: Contract | null = isDeletion ? null : { account, tokenDigests: [], requestsPerSecond: 1, tokensPerSecond: 1, kinds: {} }
    try {
      const { revision } = await (this.contracts.get(hostId) as ReturnType<typeof createContracts>).writeChange({ account, contract, expectedRevision, operator: hostId })
      this.calls.push({ ...base, endMs: this.clock.readMonotonicMs(), accepted: revision })
      return revision
    } catch (error) {
      const { code } = error as { code: string }
      const endMs = this.clock.readMonotonicMs()
      if (error instanceof RevisionConflictError) this.calls.push({ ...base, endMs, conflict: error.revision })
      else this.calls.push({ ...base, endMs, isUncertain: code === 'contract_change_uncertain' })
      return code
    }
  }

  /** Runs a change to its end under virtual time. */
  async runChange (hostId: string, account: string, expectedRevision: number, isDeletion = false): Promise<number | string> {
    let result: number | string | undefined
    this.writeChange(hostId, account, expectedRevision, isDeletion).then(value => { result = value }, () => { result = 'failed' })
    await this.runUntil(() => result !== undefined, 20_000)
    return result ?? 'open'
  }

  /** Whether all of `hosts` have `revision` of the account in force or as deletion. */
  isInForce (account: string, revision: number, hosts: Iterable<string> = this.contracts.keys()): boolean {
    return [...hosts].every(id => (this.contracts.get(id)?.store.findRevision(account)?.revision ?? 0) === revision)
  }

  /** Adds an observation that no host made, to test the check itself. */
  addObservation (observation: Observations[number]): void {
    this.observations.push(observation)
  }

  validateHistory (): readonly string[] {
    return validateRevisionHistory(this.calls, this.observations)
  }
}

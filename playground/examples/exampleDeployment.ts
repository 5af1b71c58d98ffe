import type { Contract } from '../../src/types/contract.js'
import type { ExampleUpstreams } from './exampleUpstreams.js'
import type { WorkloadEntry } from './workloadEntry.js'

/** An example deployment: hosts, upstreams, accounts with their contracts, and the workload of the callers. */
export interface ExampleDeployment {
  readonly name: string
  /** Name of the company that operates the deployment. */
  readonly operator: string
  readonly operatorToken: string
  readonly peerSecret: string
  readonly failureDomains: readonly string[]
  /** One-way network delays. */
  readonly links: { readonly betweenDomainsMs: number, readonly toClientsMs: number }
  readonly entryHosts: ReadonlyArray<{ readonly id: string, readonly failureDomain: string }>
  /** Options of the stand-ins for the platform services. */
  readonly keyValueService: Readonly<Record<string, unknown>>
  readonly hostList: Readonly<Record<string, unknown>>
  readonly weightStore: Readonly<Record<string, unknown>>
  readonly upstreams: readonly ExampleUpstreams[]
  /** Bearer tokens in plain text; the contracts hold their digests. */
  readonly accounts: ReadonlyArray<{ readonly account: string, readonly token: string }>
  readonly contracts: readonly Contract[]
  readonly workload: readonly WorkloadEntry[]
  /** Periods of high demand: the load rises to `factor` times the usual load. */
  readonly demandPeaks: ReadonlyArray<{ readonly name: string, readonly factor: number, readonly riseMs: number, readonly lengthMs: number }>
}

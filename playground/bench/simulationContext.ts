import type { AccountLimiter } from '../../src/types/accountLimiter.js'
import type { Contract } from '../../src/types/contract.js'
import type { ContractRevision } from '../../src/types/contractRevision.js'
import type { Random } from '../../src/types/random.js'
import type { Upstream } from '../../src/types/upstream.js'
import type { Deployment } from './deployment.js'
import type { EventQueue } from './eventQueue.js'
import type { RunResult } from './runResult.js'
import type { Scenario } from './scenario.js'
import type { TrueWork } from './trueWork.js'
import type { UpstreamModel } from './upstreamModel.js'

/** State that all parts of one simulated run share. */
export interface SimulationContext {
  readonly deployment: Deployment
  readonly scenario: Scenario
  readonly queue: EventQueue
  readonly random: Random
  readonly models: ReadonlyMap<string, UpstreamModel>
  readonly upstreams: readonly Upstream[]
  readonly limiter: AccountLimiter
  readonly contracts: ReadonlyMap<string, ContractRevision & { readonly contract: Contract }>
  /** Actual cost of the work in progress, by work id. */
  readonly trueWorkById: Map<string, TrueWork>
  /** Admitted long work that is not sent yet, in milliseconds of work by pool, for the oracle. */
  readonly pendingLongWorkMs: Map<string, number>
  readonly result: RunResult
}

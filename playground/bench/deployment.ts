import type { BenchKind } from './benchKind.js'
import type { PoolSpec } from './poolSpec.js'

/** A deployment as the bench simulates it. */
export interface Deployment {
  readonly name: 'ferry' | 'kouign'
  readonly hosts: number
  readonly failureDomains: number
  /** One way between failure domains, and between a caller and its entry host. */
  readonly linkMs: number
  readonly callerMs: number
  readonly pools: readonly PoolSpec[]
  readonly kinds: readonly BenchKind[]
  /** Share of demand of each account. */
  readonly accounts: readonly number[]
  /** Idempotent short plain call, short generation and long generation, for the bounds of section 3. */
  readonly callKind: string
  readonly shortKind: string
  readonly longKind: string
}

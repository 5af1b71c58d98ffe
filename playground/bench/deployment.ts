import type { BenchKind } from './benchKind.js'
import type { PoolSpec } from './poolSpec.js'

/** A deployment as the bench simulates it. */
export interface Deployment {
  readonly name: 'ferry' | 'kouign'
  readonly hosts: number
  readonly failureDomains: number
  /** One-way delay between failure domains. */
  readonly linkMs: number
  /** One-way delay between a caller and its entry host. */
  readonly callerMs: number
  readonly pools: readonly PoolSpec[]
  readonly kinds: readonly BenchKind[]
  /** Share of demand of each account. */
  readonly accounts: readonly number[]
  /** Kinds to which the bounds of docs/design.md, section 3, apply: an idempotent short plain call, a short and a long generation. */
  readonly callKind: string
  readonly shortKind: string
  readonly longKind: string
}

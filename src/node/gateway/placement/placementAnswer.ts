import type { EngineRefusal } from '../ingress/engineRefusal.js'

/** Where a request would go now. */
export interface PlacementAnswer {
  readonly host: string
  readonly route: string
  readonly service: string
  /** Why the request would be refused by what is known of the engines; null when it would be admitted. */
  readonly refusal: {
    readonly cause: EngineRefusal['cause']
    readonly reason: string
    readonly retryAfterMs: number
    readonly figures: Readonly<Record<string, number>>
  } | null
  /** Upstream that would be chosen; null when none is free. */
  readonly chosen: string | null
  readonly upstreams: ReadonlyArray<{
    readonly id: string
    readonly address: string
    readonly failureDomain: string
    readonly version: string
    /** Conditions that block the upstream; `waitMs` is null when it is not known how long. */
    readonly blocks: ReadonlyArray<{ readonly condition: string, readonly waitMs: number | null }>
    /** Cost by part; empty when the upstream is blocked. */
    readonly cost: Readonly<Record<string, number>>
    readonly totalCost: number | null
  }>
}

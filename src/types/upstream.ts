import type { UpstreamState } from './upstreamState.js'

/** A model engine runner, a member of a stage pool or a plain service instance. */
export interface Upstream {
  readonly id: string
  /** `ip:port`. */
  readonly address: string
  /** Pool name, as in `StageSpec.pool`. */
  readonly pool: string
  readonly failureDomain: string
  readonly state: UpstreamState
}

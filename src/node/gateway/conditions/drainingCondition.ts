import type { ConditionBlock } from './conditionBlock.js'
import type { UpstreamCondition } from './upstreamCondition.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/** The upstream will stop, as its entry or its answers say. Its instance does not come back. */
export class DrainingCondition implements UpstreamCondition {
  readonly name = 'draining'

  findBlock ({ entry }: UpstreamState): ConditionBlock | undefined {
    return entry.isDraining ? { waitMs: Infinity } : undefined
  }

  computeHoldMs (): number {
    return Infinity
  }

  recordSent (): void {}
}

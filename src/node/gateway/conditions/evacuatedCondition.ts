import type { ConditionBlock } from './conditionBlock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { UpstreamCondition } from './upstreamCondition.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface EvacuationOptions {
  readonly logger: Logger
  readonly metrics: Metrics
  /** Called after each change with the domains that are back. */
  readonly onChanged: (returned: readonly string[]) => void
}

/** The operator has evacuated the failure domain of the upstream. Nobody knows for how long. */
export class EvacuatedCondition implements UpstreamCondition {
  readonly name = 'evacuated'
  changeCount = 0
  private readonly domains = new Set<string>()

  constructor (private readonly options: EvacuationOptions) {}

  /** Replaces what is known by the domains of a complete read of the store. */
  applySnapshot (evacuated: readonly string[]): void {
    const now = new Set(evacuated)
    this.apply(evacuated, [...this.domains].filter(domain => !now.has(domain)))
  }

  addDomain (domain: string): void {
    this.apply([domain], [])
  }

  removeDomain (domain: string): void {
    this.apply([], [domain])
  }

  has (domain: string): boolean {
    return this.domains.has(domain)
  }

  findBlock ({ entry }: UpstreamState): ConditionBlock | undefined {
    return this.domains.has(entry.failureDomain) ? { waitMs: Infinity } : undefined
  }

  computeHoldMs (): number {
    return Infinity
  }

  recordSent (): void {}

  private apply (evacuated: readonly string[], back: readonly string[]): void {
    const { logger, metrics, onChanged } = this.options
    const added = evacuated.filter(domain => !this.domains.has(domain))
    const returned = back.filter(domain => this.domains.delete(domain))
    for (const evacuatedDomain of added) {
      this.domains.add(evacuatedDomain)
      metrics.addCount('domain_evacuations', {})
      logger.recordWarning('failure domain evacuated', { evacuatedDomain })
    }
    for (const evacuatedDomain of returned) logger.recordInfo('failure domain back', { evacuatedDomain })
    if (added.length + returned.length === 0) return
    this.changeCount++
    metrics.setGauge('evacuated_domains', {}, this.domains.size)
    onChanged(returned)
  }
}

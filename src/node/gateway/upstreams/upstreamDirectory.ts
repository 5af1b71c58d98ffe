import { upstreamConstants } from './constants.js'
import { UpstreamPool } from './upstreamPool.js'
import { UpstreamState } from './upstreamState.js'
import type { ResponseDecoder } from './responseDecoder.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

interface DirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly decodeResponse: ResponseDecoder
  /** Largest number of connections that this host may hold to one upstream of a service. */
  readonly getConnectionLimit: (service: string) => number
  readonly onChanged: () => void
  readonly onRemoved: (upstreamId: string) => void
}

/** The upstreams that are registered in the store, with their connections. */
export class UpstreamDirectory {
  private readonly states = new Map<string, UpstreamState>()
  private readonly byService = new Map<string, UpstreamState[]>()

  constructor (private readonly options: DirectoryOptions) {}

  /** Applies a complete list of upstreams. After a store outage, upstreams that are missing from it are kept for a grace period. */
  applySnapshot (entries: readonly UpstreamEntry[], isAfterOutage: boolean): void {
    const ids = new Set(entries.map(entry => entry.id))
    const nowMs = this.options.clock.readMonotonicMs()
    for (const state of this.states.values()) {
      if (ids.has(state.entry.id)) continue
      if (isAfterOutage) state.removeAtMs = nowMs + upstreamConstants.missingEntryGraceMs
      else this.removeUpstream(state.entry.id, 'missing from the store snapshot')
    }
    for (const entry of entries) this.applyEntry(entry)
    this.options.onChanged()
  }

  applyEntry (entry: UpstreamEntry): void {
    const known = this.states.get(entry.id)
    if (known !== undefined && known.entry.address === entry.address && known.entry.service === entry.service) {
      if (known.entry.isDraining !== entry.isDraining) {
        this.recordChange(
          entry.isDraining ? 'upstream draining' : 'upstream ready',
          entry,
          'the draining flag of the store entry changed'
        )
      }
      known.entry = entry
      known.removeAtMs = undefined
    } else {
      if (known !== undefined) this.removeUpstream(entry.id, 'address or service changed')
      this.addUpstream(entry)
    }
    this.options.onChanged()
  }

  removeUpstream (id: string, reason: string): void {
    const state = this.states.get(id)
    if (state === undefined) return
    this.states.delete(id)
    const { service } = state.entry
    this.byService.set(service, (this.byService.get(service) ?? []).filter(other => other !== state))
    state.pool.close()
    this.options.onRemoved(id)
    this.recordChange('upstream gone', state.entry, reason)
    this.options.onChanged()
  }

  /** Removes upstreams whose entries are still missing after the grace period that follows a store outage. */
  removeMissing (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const state of [...this.states.values()]) {
      if (state.removeAtMs !== undefined && state.removeAtMs <= nowMs) this.removeUpstream(state.entry.id, 'still missing after a store outage')
    }
  }

  find (id: string): UpstreamState | undefined {
    return this.states.get(id)
  }

  /** All upstreams of a service, including draining ones. */
  listService (service: string): readonly UpstreamState[] {
    return this.byService.get(service) ?? []
  }

  /**
   * Upstreams of a service that may get a new request. Ejected upstreams are left out, unless too many are ejected:
   * then the cause of the failures is more likely on this host's side.
   */
  listUsable (service: string): readonly UpstreamState[] {
    const nowMs = this.options.clock.readMonotonicMs()
    const usable = this.listService(service).filter(state => !state.entry.isDraining)
    const healthy = usable.filter(state => !state.isEjected(nowMs))
    return healthy.length >= usable.length * (1 - upstreamConstants.maxEjectedShare) ? healthy : usable
  }

  private addUpstream (entry: UpstreamEntry): void {
    const { metrics } = this.options
    const pool = new UpstreamPool({
      address: entry.address,
      decodeResponse: this.options.decodeResponse,
      getConnectionLimit: () => this.options.getConnectionLimit(entry.service),
      onOpened: () => { metrics.addCount('upstream_connections_opened', { service: entry.service }) },
      onHead: head => { this.observeLimit(state, head) }
    })
    const state: UpstreamState = new UpstreamState(entry, pool)
    this.states.set(entry.id, state)
    this.byService.set(entry.service, [...this.byService.get(entry.service) ?? [], state])
    this.recordChange('upstream added', entry, entry.isDraining ? 'registered as draining' : 'registered as ready')
  }

  private observeLimit (state: UpstreamState, { requestLimit }: UpstreamResponseHead): void {
    if (requestLimit === state.requestLimit) return
    const { logger, metrics } = this.options
    const { id, service } = state.entry
    // A limit that cannot be read says neither that there is none nor how much the upstream takes.
    if (requestLimit === 'unreadable') {
      logger.recordWarning('upstream limit not readable', { upstream: id, service, limitInForce: state.requestLimit })
      return
    }
    metrics.addCount('upstream_limit_changes', { service })
    logger.recordInfo(requestLimit === undefined ? 'upstream limit ended' : 'upstream limit named', {
      upstream: id,
      service,
      requestsPerSecond: requestLimit,
      before: state.requestLimit
    })
    state.requestLimit = requestLimit
  }

  private recordChange (message: string, { id, service, address, failureDomain }: UpstreamEntry, reason: string): void {
    this.options.logger.recordInfo(message, { upstream: id, service, address, upstreamDomain: failureDomain, reason })
  }
}

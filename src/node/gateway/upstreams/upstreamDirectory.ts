import { upstreamConstants } from './constants.js'
import { UpstreamPool } from './upstreamPool.js'
import { UpstreamState } from './upstreamState.js'
import type { ResponseDecoder } from './responseDecoder.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'

interface DirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly decodeResponse: ResponseDecoder
  /** Connections that one host may hold to an upstream of a service. */
  readonly getConnectionLimit: (service: string) => number
  readonly onChanged: () => void
  readonly onRemoved: (upstreamId: string) => void
}

/** The upstreams that the store lists, with their connections. */
export class UpstreamDirectory {
  private readonly states = new Map<string, UpstreamState>()
  private readonly byService = new Map<string, UpstreamState[]>()

  constructor (private readonly options: DirectoryOptions) {}

  /** Takes over a whole list. Upstreams that are missing from it stay for a moment after an outage of the store. */
  applySnapshot (entries: readonly UpstreamEntry[], isAfterOutage: boolean): void {
    const ids = new Set(entries.map(entry => entry.id))
    const nowMs = this.options.clock.readMonotonicMs()
    for (const state of this.states.values()) {
      if (ids.has(state.entry.id)) continue
      if (isAfterOutage) state.removeAtMs = nowMs + upstreamConstants.missingEntryGraceMs
      else this.removeUpstream(state.entry.id, 'missing from the list')
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
          'entry changed'
        )
      }
      known.entry = entry
      known.removeAtMs = undefined
    } else {
      if (known !== undefined) this.removeUpstream(entry.id, 'replaced at another address')
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

  /** Removes upstreams whose entries have not come back after an outage of the store. */
  removeMissing (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const state of [...this.states.values()]) {
      if (state.removeAtMs !== undefined && state.removeAtMs <= nowMs) this.removeUpstream(state.entry.id, 'did not come back after an outage of the store')
    }
  }

  find (id: string): UpstreamState | undefined {
    return this.states.get(id)
  }

  /** All upstreams of a service, leaving ones included. */
  listService (service: string): readonly UpstreamState[] {
    return this.byService.get(service) ?? []
  }

  /**
   * Upstreams of a service that may get a new request. Those set aside after failures are left out, unless too many
   * are: then the failures are more likely on this host's side.
   */
  listUsable (service: string): readonly UpstreamState[] {
    const nowMs = this.options.clock.readMonotonicMs()
    const usable = this.listService(service).filter(state => !state.entry.isDraining)
    const sound = usable.filter(state => !state.isEjected(nowMs))
    return sound.length >= usable.length * (1 - upstreamConstants.maxEjectedShare) ? sound : usable
  }

  private addUpstream (entry: UpstreamEntry): void {
    const { metrics } = this.options
    const pool = new UpstreamPool({
      address: entry.address,
      decodeResponse: this.options.decodeResponse,
      getConnectionLimit: () => this.options.getConnectionLimit(entry.service),
      onOpened: () => { metrics.addCount('upstream_connections_opened', { service: entry.service }) }
    })
    const state = new UpstreamState(entry, pool)
    this.states.set(entry.id, state)
    this.byService.set(entry.service, [...this.byService.get(entry.service) ?? [], state])
    this.recordChange('upstream seen', entry, entry.isDraining ? 'draining' : 'ready')
  }

  private recordChange (message: string, { id, service, address, failureDomain }: UpstreamEntry, reason: string): void {
    this.options.logger.recordInfo(message, { upstream: id, service, address, upstreamDomain: failureDomain, reason })
  }
}

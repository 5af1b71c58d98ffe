import { upstreamConstants } from './constants.js'
import type { UpstreamConditions } from '../conditions/upstreamConditions.js'
import type { UpstreamState } from './upstreamState.js'

type Standing = 'held back' | 'ejected' | 'healthy'

/**
 * The usable upstreams of one service. Asking all conditions of 2,800 upstreams for each request takes longer than all
 * else that a request needs, so each upstream has a standing, which is found again only when something of the upstream
 * has changed, when a condition has changed as a whole, or when the time is over for which the conditions vouch.
 */
export class UsableUpstreams {
  private readonly standings = new Map<UpstreamState, Standing>()
  /** Upstreams whose standing is to be found again. */
  private readonly changed = new Set<UpstreamState>()
  /** Times at which standings are to be found again though nothing else changes. */
  private readonly holdsUntilMs = new Map<UpstreamState, number>()
  private nextCheckMs = Infinity
  private revision: number | undefined
  /** Upstreams that have named a limit. */
  private readonly limited = new Set<UpstreamState>()
  /** Lists by software version; undefined for all versions. Kept until a standing changes. */
  private readonly healthyByVersion = new Map<string | undefined, readonly UpstreamState[]>()

  constructor (private readonly conditions: UpstreamConditions) {}

  /** Whether an upstream has named a limit; it may have ended since. */
  get hasLimits (): boolean {
    return this.limited.size > 0
  }

  addUpstream (state: UpstreamState): void {
    this.standings.set(state, 'held back')
    this.onChanged(state)
  }

  removeUpstream (state: UpstreamState): void {
    this.standings.delete(state)
    this.changed.delete(state)
    this.holdsUntilMs.delete(state)
    this.limited.delete(state)
    this.healthyByVersion.clear()
  }

  /** Something has changed that the standing of an upstream may depend on, or its entry. */
  onChanged (state: UpstreamState): void {
    if (this.standings.has(state)) this.changed.add(state)
  }

  /** The entry of an upstream was replaced, and with it maybe its version. */
  onEntryChanged (state: UpstreamState): void {
    this.onChanged(state)
    this.healthyByVersion.clear()
  }

  /** Whether an upstream gets new work, ejection and limits aside. */
  hasOpen (nowMs: number): boolean {
    this.update(nowMs)
    for (const standing of this.standings.values()) {
      if (standing !== 'held back') return true
    }
    return false
  }

  /**
   * Upstreams that no condition holds back. Ejected ones are left out, unless too many are ejected: then the cause of
   * the failures is more likely on this host's side. With a version, only its upstreams count. The same list is
   * returned until it changes.
   */
  listHealthy (version: string | undefined, nowMs: number): readonly UpstreamState[] {
    this.update(nowMs)
    const known = this.healthyByVersion.get(version)
    if (known !== undefined) return known
    const open: UpstreamState[] = []
    const healthy: UpstreamState[] = []
    for (const [state, standing] of this.standings) {
      if (standing === 'held back' || (version !== undefined && state.entry.version !== version)) continue
      open.push(state)
      if (standing === 'healthy') healthy.push(state)
    }
    const list = healthy.length >= open.length * (1 - upstreamConstants.maxEjectedShare) ? healthy : open
    this.healthyByVersion.set(version, list)
    return list
  }

  private update (nowMs: number): void {
    const revision = this.conditions.countChanges()
    if (revision !== this.revision) {
      this.revision = revision
      for (const state of this.standings.keys()) this.changed.add(state)
    }
    if (nowMs >= this.nextCheckMs) {
      for (const [state, untilMs] of this.holdsUntilMs) {
        if (nowMs >= untilMs) this.changed.add(state)
      }
    }
    if (this.changed.size === 0) return
    for (const state of this.changed) this.updateStanding(state, nowMs)
    this.changed.clear()
    this.nextCheckMs = Infinity
    for (const untilMs of this.holdsUntilMs.values()) this.nextCheckMs = Math.min(this.nextCheckMs, untilMs)
  }

  private updateStanding (state: UpstreamState, nowMs: number): void {
    const isEjected = state.isEjected(nowMs)
    const standing = !this.conditions.isOpen(state, nowMs) ? 'held back' : isEjected ? 'ejected' : 'healthy'
    if (this.standings.get(state) !== standing) {
      this.standings.set(state, standing)
      this.healthyByVersion.clear()
    }
    const ejectedMs = isEjected ? state.ejectedUntilMs - nowMs : Infinity
    const holdsMs = Math.min(this.conditions.computeHoldMs(state, nowMs), ejectedMs)
    if (holdsMs === Infinity) this.holdsUntilMs.delete(state)
    else this.holdsUntilMs.set(state, nowMs + holdsMs)
    if (state.limit === undefined) this.limited.delete(state)
    else this.limited.add(state)
  }
}

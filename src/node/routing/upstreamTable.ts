import type { Random } from '../../types/random.js'
import type { Upstream } from '../../types/upstream.js'
import { UpstreamPool } from './upstreamPool.js'
import { UpstreamView } from './upstreamView.js'

/** A leaving upstream is used again when the host list calls it live this long after the last signal that it is leaving. */
const leavingSignalTtlMs = 15_000

/** All known upstreams, by id and by pool. */
export class UpstreamTable {
  private readonly views = new Map<string, UpstreamView>()
  private readonly pools = new Map<string, UpstreamPool>()

  constructor (private readonly random: Random) {}

  find (upstreamId: string): UpstreamView | undefined {
    return this.views.get(upstreamId)
  }

  findPool (name: string): UpstreamPool | undefined {
    return this.pools.get(name)
  }

  applyUpstreams (upstreams: readonly Upstream[], nowMs: number): void {
    const missingIds = new Set(this.views.keys())
    for (const upstream of upstreams) {
      missingIds.delete(upstream.id)
      this.applyUpstream(upstream, nowMs)
    }
    for (const id of missingIds) this.removeView(id)
    this.updatePools()
  }

  /** Records a direct signal that the upstream is leaving. It takes precedence over the host list, which lags behind. */
  onLeaving (upstreamId: string, nowMs: number): void {
    const view = this.views.get(upstreamId)
    if (view === undefined) return
    view.leaving = true
    view.leavingSignalMs = nowMs
    this.updatePools()
  }

  /** Removes an upstream that is gone and has no attempts in flight. */
  removeIfGone (view: UpstreamView): void {
    const id = view.upstream.id
    if (view.gone && view.attempts.size === 0 && this.views.get(id) === view) this.views.delete(id)
  }

  private applyUpstream (upstream: Upstream, nowMs: number): void {
    const known = this.views.get(upstream.id)
    if (known === undefined || known.upstream.address !== upstream.address || known.gone) {
      if (upstream.state !== 'gone') this.views.set(upstream.id, new UpstreamView(upstream))
      return
    }
    if (upstream.state === 'gone') this.removeView(upstream.id)
    else if (upstream.state === 'leaving') {
      known.leaving = true
      known.leavingSignalMs = nowMs
    } else if (nowMs - known.leavingSignalMs >= leavingSignalTtlMs) known.leaving = false
  }

  private removeView (id: string): void {
    const view = this.views.get(id)
    if (view === undefined) return
    view.gone = true
    this.pools.get(view.upstream.pool)?.prefixes.removeUpstream(id)
    this.removeIfGone(view)
  }

  private updatePools (): void {
    const byPool = new Map<string, UpstreamView[]>([...this.pools.keys()].map(name => [name, []]))
    for (const view of this.views.values()) {
      if (!byPool.has(view.upstream.pool)) byPool.set(view.upstream.pool, [])
      if (view.isSelectable()) byPool.get(view.upstream.pool)?.push(view)
    }
    for (const [name, views] of byPool) {
      if (!this.pools.has(name)) this.pools.set(name, new UpstreamPool(this.random))
      this.pools.get(name)?.setSelectable(views)
    }
  }
}

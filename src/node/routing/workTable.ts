import type { AttemptOutcome } from '../../types/attemptOutcome.js'
import type { UpstreamView } from './upstreamView.js'

/** Marks kept for repeated work; more are dropped at once, which only costs budget. */
const largestMarks = 10_000
const none: readonly UpstreamView[] = []

/** Which upstreams run which work, and which attempts repeat earlier ones. */
export class WorkTable {
  private readonly running = new Map<string, readonly UpstreamView[]>()
  private readonly repeats = new Map<string, number>()
  private readonly refused = new Set<string>()

  list (workId: string): readonly UpstreamView[] {
    return this.running.get(workId) ?? none
  }

  /** The view that an attempt was sent through, which may have left the list since. */
  find (workId: string, upstreamId: string): UpstreamView | undefined {
    return this.list(workId).find(view => view.upstream.id === upstreamId)
  }

  /** What the attempt took from the repeat budget; undefined for the first attempt of a work. */
  onSent (workId: string, view: UpstreamView): number | undefined {
    this.running.set(workId, [...this.list(workId), view])
    const takenMs = this.repeats.get(workId)
    this.repeats.delete(workId)
    return takenMs
  }

  onEnded (workId: string, view: UpstreamView, outcome: AttemptOutcome): void {
    const left = this.list(workId).filter(other => other !== view)
    if (left.length > 0) this.running.set(workId, left)
    else this.running.delete(workId)
    if (outcome !== 'refused') return
    if (this.refused.size >= largestMarks) this.refused.clear()
    this.refused.add(workId)
  }

  /** Marks the next attempt of the work as a repeated one that took `takenMs` from the budget. */
  addRepeat (workId: string, takenMs: number): void {
    if (this.repeats.size >= largestMarks) this.repeats.clear()
    this.repeats.set(workId, takenMs)
  }

  /** Whether the last attempt ran nothing, so that one more adds no work. */
  takeRefused (workId: string): boolean {
    return this.refused.delete(workId)
  }
}

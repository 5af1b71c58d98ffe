import type { AttemptOutcome } from '../../types/attemptOutcome.js'
import type { UpstreamView } from './upstreamView.js'

/** Marks kept for repeated work; more are dropped at once, which only costs budget. */
const maxMarks = 10_000
const none: readonly UpstreamView[] = []

/** Which upstreams run which work, and which attempts repeat earlier ones. */
export class WorkTable {
  private readonly viewsByWork = new Map<string, readonly UpstreamView[]>()
  private readonly extraAttemptCosts = new Map<string, number>()
  private readonly refusedWork = new Set<string>()

  list (workId: string): readonly UpstreamView[] {
    return this.viewsByWork.get(workId) ?? none
  }

  /** The view that an attempt was sent through, which may have left the list since. */
  find (workId: string, upstreamId: string): UpstreamView | undefined {
    return this.list(workId).find(view => view.upstream.id === upstreamId)
  }

  /** What the attempt took from the repeat budget; undefined for the first attempt of a work. */
  onSent (workId: string, view: UpstreamView): number | undefined {
    this.viewsByWork.set(workId, [...this.list(workId), view])
    const takenMs = this.extraAttemptCosts.get(workId)
    this.extraAttemptCosts.delete(workId)
    return takenMs
  }

  onEnded (workId: string, view: UpstreamView, outcome: AttemptOutcome): void {
    const left = this.list(workId).filter(other => other !== view)
    if (left.length > 0) this.viewsByWork.set(workId, left)
    else this.viewsByWork.delete(workId)
    if (outcome !== 'refused') return
    if (this.refusedWork.size >= maxMarks) this.refusedWork.clear()
    this.refusedWork.add(workId)
  }

  /** Marks the next attempt of the work as a repeated one that took `takenMs` from the budget. */
  addExtraAttempt (workId: string, takenMs: number): void {
    if (this.extraAttemptCosts.size >= maxMarks) this.extraAttemptCosts.clear()
    this.extraAttemptCosts.set(workId, takenMs)
  }

  /** Whether the last attempt ran nothing, so that one more adds no work. */
  takeRefused (workId: string): boolean {
    return this.refusedWork.delete(workId)
  }
}

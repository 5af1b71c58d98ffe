import type { AttemptOutcome } from '../../types/attemptOutcome.js'
import type { UpstreamView } from './upstreamView.js'

/** Bound of each table of marks. A full table is cleared, which only costs retry budget. */
const maxMarks = 10_000
const none: readonly UpstreamView[] = []

/** Tracks which upstreams run which work, and which attempts are retries or hedges. */
export class WorkTable {
  private readonly viewsByWork = new Map<string, readonly UpstreamView[]>()
  private readonly extraAttemptCosts = new Map<string, number>()
  private readonly refusedWork = new Set<string>()

  list (workId: string): readonly UpstreamView[] {
    return this.viewsByWork.get(workId) ?? none
  }

  /** The view that the attempt was sent to, even if the upstream has been removed from the table since. */
  find (workId: string, upstreamId: string): UpstreamView | undefined {
    return this.list(workId).find(view => view.upstream.id === upstreamId)
  }

  /** Records an attempt. Returns the cost it took from the retry budget, or undefined for the first attempt of the work. */
  onSent (workId: string, view: UpstreamView): number | undefined {
    this.viewsByWork.set(workId, [...this.list(workId), view])
    const budgetTakenMs = this.extraAttemptCosts.get(workId)
    this.extraAttemptCosts.delete(workId)
    return budgetTakenMs
  }

  onEnded (workId: string, view: UpstreamView, outcome: AttemptOutcome): void {
    const remaining = this.list(workId).filter(other => other !== view)
    if (remaining.length > 0) this.viewsByWork.set(workId, remaining)
    else this.viewsByWork.delete(workId)
    if (outcome !== 'refused') return
    if (this.refusedWork.size >= maxMarks) this.refusedWork.clear()
    this.refusedWork.add(workId)
  }

  /** Marks the next attempt of the work as a retry or hedge that took `budgetTakenMs` from the retry budget. */
  addExtraAttempt (workId: string, budgetTakenMs: number): void {
    if (this.extraAttemptCosts.size >= maxMarks) this.extraAttemptCosts.clear()
    this.extraAttemptCosts.set(workId, budgetTakenMs)
  }

  /** Whether an attempt of the work was refused, so that a retry adds no work; clears the mark. */
  takeRefused (workId: string): boolean {
    return this.refusedWork.delete(workId)
  }
}

import type { AttemptOutcome } from '../../types/attemptOutcome.js'
import type { UpstreamView } from './upstreamView.js'

/** Marks kept for repeated work; more are dropped at once, which only costs budget. */
const largestMarks = 10_000
const none: readonly UpstreamView[] = []

/** Which upstreams run which work, and which attempts repeat earlier ones. */
export class WorkTable {
  private readonly running = new Map<string, readonly UpstreamView[]>()
  private readonly repeats = new Set<string>()
  private readonly refused = new Set<string>()

  list (workId: string): readonly UpstreamView[] {
    return this.running.get(workId) ?? none
  }

  /** The view that an attempt was sent through, which may have left the list since. */
  find (workId: string, upstreamId: string): UpstreamView | undefined {
    return this.list(workId).find(view => view.upstream.id === upstreamId)
  }

  /** True for the first attempt of a work. */
  onSent (workId: string, view: UpstreamView): boolean {
    this.running.set(workId, [...this.list(workId), view])
    return !this.repeats.delete(workId)
  }

  onEnded (workId: string, view: UpstreamView, outcome: AttemptOutcome): void {
    const left = this.list(workId).filter(other => other !== view)
    if (left.length > 0) this.running.set(workId, left)
    else this.running.delete(workId)
    if (outcome === 'refused') addMark(this.refused, workId)
  }

  addRepeat (workId: string): void {
    addMark(this.repeats, workId)
  }

  /** Whether the last attempt ran nothing, so that one more adds no work. */
  takeRefused (workId: string): boolean {
    return this.refused.delete(workId)
  }
}

function addMark (marks: Set<string>, workId: string): void {
  if (marks.size >= largestMarks) marks.clear()
  marks.add(workId)
}

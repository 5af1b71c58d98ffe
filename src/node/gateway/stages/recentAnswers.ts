import { stageConstants } from './constants.js'
import type { StagePieceResult } from '../model/stagePieceResult.js'

/**
 * Recognizes a stage answer that arrives twice. Stage calls carry no id that the answer echoes, so a late second copy on a
 * connection in use again looks like the answer to the next call; but every result has a handle of its own.
 */
export class RecentAnswers {
  /** First handle of each recent answer, by upstream; the oldest first. */
  private readonly handlesByUpstream = new Map<string, string[]>()

  /** Records an answer; false when its results were part of an earlier one. */
  addAnswer (upstreamId: string, results: readonly StagePieceResult[]): boolean {
    const first = results.find(result => 'handle' in result)
    if (first === undefined) return true
    const handles = this.handlesByUpstream.get(upstreamId) ?? []
    if (handles.includes(first.handle)) return false
    handles.push(first.handle)
    if (handles.length > stageConstants.recentAnswers) handles.shift()
    this.handlesByUpstream.set(upstreamId, handles)
    return true
  }

  /** Forgets the upstreams that are gone. */
  removeOthers (upstreamIds: ReadonlySet<string>): void {
    for (const id of this.handlesByUpstream.keys()) {
      if (!upstreamIds.has(id)) this.handlesByUpstream.delete(id)
    }
  }
}

import { stageConstants } from './constants.js'
import type { StagePieceResult } from '../model/stagePieceResult.js'

/**
 * Recognizes a stage answer that arrives twice. Stage calls carry no id that the answer echoes, so a late second copy on a
 * connection in use again looks like the answer to the next call; but every result has a handle of its own.
 */
export class RecentAnswers {
  /** First handle of each recent answer, by the pool whose connections brought it; the oldest first. */
  private readonly handlesByPool = new WeakMap<object, string[]>()

  /** Records an answer; false when its results were part of an earlier one. */
  addAnswer (pool: object, results: readonly StagePieceResult[]): boolean {
    const first = results.find(result => 'handle' in result)
    if (first === undefined) return true
    const handles = this.handlesByPool.get(pool) ?? []
    if (handles.includes(first.handle)) return false
    handles.push(first.handle)
    if (handles.length > stageConstants.recentAnswers) handles.shift()
    this.handlesByPool.set(pool, handles)
    return true
  }
}

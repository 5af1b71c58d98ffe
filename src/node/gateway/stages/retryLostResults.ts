import { retryInputs } from './retryInputs.js'
import { stageConstants } from './constants.js'
import type { JobState } from './jobState.js'
import type { ResultTracker } from './resultTracker.js'
import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'

interface RetryOptions {
  readonly services: ReadonlyMap<string, StageService>
  readonly resultTracker: ResultTracker
  readonly nowMs: number
}

/**
 * Queues the pieces of a job again whose results are lost while other stages or the request still need them: their
 * upstream has ended, or they have expired while they waited for the other results of the job. At a load peak a job has
 * up to a hundred results at ten upstreams; starting over for a few lost ones would waste the others. Returns the number
 * of these pieces.
 */
export function retryLostResults (state: JobState, { services, resultTracker, nowMs }: RetryOptions): number {
  let count = 0
  for (const task of state.tasks.values()) {
    if (task.isReleased || !isNeeded(state, task)) continue
    const service = services.get(task.work.service)
    const expiresAfterMs = (service?.spec.resultLifetimeMs ?? Infinity) - stageConstants.resultExpiryMarginMs
    for (const { pieceIndex, upstreamId, madeAtMs } of task.listResults()) {
      const isLost = service?.upstreams.has(upstreamId) !== true || nowMs - madeAtMs >= expiresAfterMs
      if (!isLost) continue
      resultTracker.releasePiece(task, pieceIndex)
      task.endTurn()
      task.retryPiece(pieceIndex)
      count++
    }
  }
  if (count > 0) retryInputs(state)
  return count
}

/** Whether results of a task are yet to be sent on. */
function isNeeded (state: JobState, task: StageTask): boolean {
  const dependents = state.listDependents(task)
  return dependents.length === 0 || dependents.some(dependent => dependent.pendingPieces.length > 0)
}

import type { MissingInputs } from './missingInputs.js'
import type { StageTask } from './stageTask.js'

/** Finds out which inputs of a task have no result or are released; undefined when all are there. */
export function findMissingInputs (task: StageTask): MissingInputs | undefined {
  if (task.hasInputs()) return undefined
  const { jobState, work } = task
  const inputTasks = jobState.listInputTasks(task)
  const inputs = inputTasks.reduce((sum, input) => sum + input.work.pieceCount, 0)
  const missing = inputs - inputTasks.flatMap(input => input.listHandles()).length
  const releasedStages = inputTasks.filter(input => input.isReleased).length
  return {
    requestId: jobState.job.requestId,
    service: work.service,
    stageIndex: work.index,
    inputs,
    missing,
    waiting: inputTasks.reduce((sum, input) => sum + input.pendingPieces.length, 0),
    inFlight: inputTasks.reduce((sum, input) => sum + input.piecesInFlight, 0),
    releasedStages
  }
}

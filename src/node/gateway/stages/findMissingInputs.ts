import type { MissingInputs } from './missingInputs.js'
import type { StageTask } from './stageTask.js'

/** Finds out which inputs of a task have no result or are released; undefined when all are there. */
export function findMissingInputs (task: StageTask): MissingInputs | undefined {
  const { jobState, work } = task
  const inputTasks = jobState.listInputTasks(task)
  const handles = inputTasks.flatMap(input => [...input.handles])
  const missing = handles.filter(handle => handle === undefined).length
  const releasedStages = inputTasks.filter(input => input.isReleased).length
  if (missing === 0 && releasedStages === 0) return undefined
  return {
    requestId: jobState.job.requestId,
    service: work.service,
    stageIndex: work.index,
    inputs: handles.length,
    missing,
    waiting: inputTasks.reduce((sum, input) => sum + input.pendingPieces.length, 0),
    inFlight: inputTasks.reduce((sum, input) => sum + input.piecesInFlight, 0),
    releasedStages
  }
}

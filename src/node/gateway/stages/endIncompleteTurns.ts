import { findMissingInputs } from './findMissingInputs.js'
import type { MissingInputs } from './missingInputs.js'
import type { StageService } from './stageService.js'

/**
 * Takes tasks out of the queue of a service that lack results of their input stages, so that no call is built without
 * them. Tasks leave the queue by themselves when a result is lost; one that is found here is a fault. Returns what they
 * lack.
 */
export function endIncompleteTurns (service: StageService): readonly MissingInputs[] {
  const faults: MissingInputs[] = []
  for (const task of service.readyTasks) {
    const missingInputs = findMissingInputs(task)
    if (missingInputs === undefined) continue
    faults.push(missingInputs)
    task.endTurn()
  }
  return faults
}

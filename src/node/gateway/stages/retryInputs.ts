import type { JobState } from './jobState.js'

/**
 * Queues all pieces of tasks again whose results have been released although a task with waiting pieces needs them.
 * Returns whether there are any.
 */
export function retryInputs (state: JobState): boolean {
  let hasReleased = false
  const waiting = [...state.tasks.values()].filter(task => task.pendingPieces.length > 0)
  for (let task = waiting.pop(); task !== undefined; task = waiting.pop()) {
    for (const input of state.listInputTasks(task)) {
      if (!input.isReleased) continue
      hasReleased = true
      input.retryReleased()
      waiting.push(input)
    }
  }
  return hasReleased
}

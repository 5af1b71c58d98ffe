import type { Random } from '../types/random.js'
import type { Scheduler } from '../types/scheduler.js'

/**
 * Calls `run` about every `periodMs` until the returned function is called. Each delay varies by up to
 * `jitter` (a fraction of the period), so that hosts started together do not act at the same time.
 */
export function scheduleRepeatedly (scheduler: Scheduler, random: Random, periodMs: number, jitter: number, run: () => void): () => void {
  let cancel = (): void => {}
  const scheduleNext = (): void => {
    cancel = scheduler.schedule(periodMs * (1 + jitter * (2 * random() - 1)), () => {
      scheduleNext()
      run()
    })
  }
  scheduleNext()
  return () => { cancel() }
}

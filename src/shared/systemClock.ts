import type { Clock } from '../types/clock.js'

/** The clock of the process. */
export const systemClock: Clock = {
  readMonotonicMs: () => performance.now(),
  readWallMs: () => Date.now()
}

import { Drain } from './drain.js'
import type { DrainOptions } from './drainOptions.js'

/** Creates the graceful shutdown of a host, which begins with `start()`. */
export function createDrain (options: DrainOptions): Drain {
  return new Drain(options)
}

import { Drain } from './drain.js'
import type { DrainOptions } from './drainOptions.js'

/** The planned stop of a host; begins with `start()`. */
export function createDrain (options: DrainOptions): Drain {
  return new Drain(options)
}

import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { SoakFault } from './soakFault.js'

/**
 * Builds a list of faults of the given types at random times, which may overlap. They start between 500 ms and 1 s
 * before the end, last 0.3 to 3 s and end within `lengthMs`. The same seed gives the same plan.
 */
export function buildFaultPlan (
  seed: number,
  lengthMs: number,
  count: number,
  types: ReadonlyArray<SoakFault['type']>
): readonly SoakFault[] {
  const random = createSeededRandom(seed)
  return Array.from({ length: count }, (): SoakFault => {
    const atMs = 500 + random() * (lengthMs - 1500)
    return {
      type: types[Math.floor(random() * types.length)]!,
      atMs,
      forMs: Math.min(300 + random() * 2700, lengthMs - atMs),
      target: Math.floor(random() * 1000)
    }
  }).sort((a, b) => a.atMs - b.atMs)
}

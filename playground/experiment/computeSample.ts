import type { Distribution } from './distribution.js'
import type { Random } from '../../src/types/random.js'

/** Draws a value from a distribution, by the Box-Muller method. */
export function computeSample ({ mean, spread, max }: Distribution, random: Random): number {
  if (spread === 0) return Math.min(mean, max)
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return Math.min(mean * Math.exp(spread * normal - spread * spread / 2), max)
}

import { requestConstants } from './constants.js'

/** Number of a new generation: above all known ones and within the range of the owner's epoch. */
export function computeNextGeneration (epoch: number, known: readonly number[]): number {
  return Math.max((epoch - 1) * requestConstants.generationsPerEpoch, ...known) + 1
}

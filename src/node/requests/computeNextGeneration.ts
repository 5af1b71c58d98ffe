import { requestConstants } from './constants.js'

/**
 * Computes the number of a new generation: higher than all known ones, and in the range reserved for the owner's
 * epoch.
 */
export function computeNextGeneration (epoch: number, known: readonly number[]): number {
  return Math.max((epoch - 1) * requestConstants.generationsPerEpoch, ...known) + 1
}

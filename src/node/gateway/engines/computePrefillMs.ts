import { engineConstants } from './constants.js'

/** Time in which an engine reads prompt tokens that it does not hold. */
export function computePrefillMs (tokens: number): number {
  return Math.max(tokens, 0) / engineConstants.prefillTokensPerMs
}

import { engineConstants } from './constants.js'

/** Time that an engine takes to read (prefill) prompt tokens that are not in its cache. */
export function computePrefillMs (tokens: number): number {
  return Math.max(tokens, 0) / engineConstants.prefillTokensPerMs
}

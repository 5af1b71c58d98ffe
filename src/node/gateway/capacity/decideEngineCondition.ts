import { capacityConstants } from './constants.js'
import type { EngineCondition } from './engineCondition.js'

/**
 * Decides how to report the speed of an engine, from its ratios to the median of its service with few and with many
 * requests in progress. The condition is for logs and metrics; the choice of an engine uses the ratios.
 */
export function decideEngineCondition (
  before: EngineCondition,
  ratios: { readonly quiet: number, readonly busy: number }
): EngineCondition {
  const { slowRatio, usualRatio } = capacityConstants
  if (ratios.quiet >= (before === 'slow' ? usualRatio : slowRatio)) return 'slow'
  return ratios.busy >= (before === 'slow under load' ? usualRatio : slowRatio) ? 'slow under load' : 'usual'
}

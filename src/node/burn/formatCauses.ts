import type { BurnCause } from './burnCause.js'

/** Formats the most frequent causes with their shares, e.g. `generate 75%, rerank 25%`. */
export function formatCauses (causes: readonly BurnCause[], limit = 3): string {
  const sum = causes.reduce((total, cause) => total + cause.count, 0)
  return causes.slice(0, limit).map(cause => `${cause.label} ${Math.round(cause.count / sum * 100)}%`).join(', ')
}

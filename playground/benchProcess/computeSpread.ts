import type { Spread } from './spread.js'

/** Computes minimum, median and maximum; the median of an even number of values is the mean of the middle two. */
export function computeSpread (values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted.length / 2
  const median = ((sorted[Math.ceil(middle) - 1] ?? NaN) + (sorted[Math.floor(middle)] ?? NaN)) / 2
  return { min: sorted[0] ?? NaN, median, max: sorted.at(-1) ?? NaN }
}

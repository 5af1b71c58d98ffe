/**
 * Computes the level up to which every demand is met when a budget is divided equally and what small demands leave goes
 * to the larger ones (max-min fairness); Infinity when the budget meets all demands.
 */
export function computeFillLevel (demands: readonly number[], budget: number): number {
  let left = budget
  const sorted = [...demands].sort((a, b) => a - b)
  for (const [index, demand] of sorted.entries()) {
    const equalPart = left / (sorted.length - index)
    if (demand > equalPart) return equalPart
    left -= demand
  }
  return Infinity
}

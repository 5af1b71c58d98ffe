/** Formats a burn rate as a multiple of the rate that spends exactly the budget, e.g. `1.5x`; a dash for null. */
export function formatBurnRate (rate: number | null): string {
  return rate === null ? '-' : `${rate >= 100 ? Math.round(rate) : rate.toFixed(1)}x`
}

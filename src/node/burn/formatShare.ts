/** Formats a share as a percentage with two decimals, rounded down so that less than 100% never shows as 100%; a dash for null. */
export function formatShare (share: number | null): string {
  return share === null ? '-' : `${(Math.floor(share * 10_000 + 1e-6) / 100).toFixed(2)}%`
}

/** A share as a percentage, cut rather than rounded so that 99.99% never reads as 100%; a dash for null. */
export function formatShare (share: number | null): string {
  return share === null ? '-' : `${(Math.floor(share * 10_000 + 1e-6) / 100).toFixed(2)}%`
}

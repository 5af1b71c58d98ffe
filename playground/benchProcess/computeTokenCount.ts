/** Computes the number of tokens that a stream of the given length generates, one in each step. */
export function computeTokenCount (seconds: number, stepMs: number): number {
  return Math.max(1, Math.round(seconds * 1000 / stepMs))
}

import { stageConstants } from './constants.js'

/**
 * Estimates the duration of a piece relative to the declared one, by kind of piece: the duration is declared for a
 * service as a whole, and some stages take a fraction of it. Normalised least mean squares over the durations of whole calls.
 */
export class PieceCosts {
  private readonly factors = new Map<string, number>()

  getFactor (pieceKind: string): number {
    return this.factors.get(pieceKind) ?? 1
  }

  /** `excessMs` is the measured minus the expected duration of a call with `counts` pieces of each kind. */
  observe (counts: ReadonlyMap<string, number>, excessMs: number, pieceMs: number): void {
    let norm = 0
    for (const count of counts.values()) norm += count * count
    if (norm === 0 || pieceMs <= 0) return
    const { minPieceFactor, maxPieceFactor, pieceFactorStep } = stageConstants
    for (const [pieceKind, count] of counts) {
      const next = this.getFactor(pieceKind) + pieceFactorStep * (excessMs / pieceMs) * count / norm
      this.factors.set(pieceKind, Math.min(Math.max(next, minPieceFactor), maxPieceFactor))
    }
  }
}

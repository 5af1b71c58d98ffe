import { stageConstants } from './constants.js'

/**
 * Duration of pieces relative to the declared one, by kind of piece. The declared duration holds for a service,
 * while some stages take a fraction of it. Normalised least mean squares over the durations of whole calls.
 */
export class PieceCosts {
  private readonly factors = new Map<string, number>()

  getFactor (kind: string): number {
    return this.factors.get(kind) ?? 1
  }

  /** `excessMs` is the measured less the expected duration of a call with `counts` pieces of each kind. */
  observe (counts: ReadonlyMap<string, number>, excessMs: number, pieceMs: number): void {
    let norm = 0
    for (const count of counts.values()) norm += count * count
    if (norm === 0 || pieceMs <= 0) return
    const { minPieceFactor, maxPieceFactor, pieceFactorStep: pieceFactorWeight } = stageConstants
    for (const [kind, count] of counts) {
      const next = this.getFactor(kind) + pieceFactorWeight * (excessMs / pieceMs) * count / norm
      this.factors.set(kind, Math.min(Math.max(next, minPieceFactor), maxPieceFactor))
    }
  }
}

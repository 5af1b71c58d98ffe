import type { ExperimentDeployment } from './experimentDeployment.js'
import type { Random } from '../../src/types/random.js'
import type { UpstreamTrouble } from './upstreamTrouble.js'

/** Computes how much slower than usual one upstream is, from random noise and from its faults. */
export class UpstreamNoise {
  private untilMs = 0
  private factor = 1

  constructor (
    private readonly noise: ExperimentDeployment['noise'],
    private readonly troubles: readonly UpstreamTrouble[],
    private readonly random: Random
  ) {}

  computeFactor (nowMs: number): number {
    while (this.untilMs <= nowMs) {
      this.untilMs += this.noise.everyMs
      this.factor = this.random() < this.noise.share ? this.noise.factor : 1
    }
    return this.troubles
      .filter(trouble => nowMs >= trouble.atMs && nowMs < trouble.atMs + trouble.forMs)
      .reduce((factor, trouble) => factor * trouble.slowdown, this.factor)
  }

  isDown (nowMs: number): boolean {
    return this.computeFactor(nowMs) === Infinity
  }
}

import { burnConstants } from './constants.js'
import type { BurnCause } from './burnCause.js'

/**
 * Counts the most frequent labels in bounded memory with the Space-Saving algorithm (Metwally, Agrawal
 * and El Abbadi, 2005): a new label replaces the rarest one and inherits its count.
 */
export class CauseCounter {
  private readonly labels: string[] = []
  private readonly counts: number[] = []

  observe (label: string): void {
    const found = this.labels.indexOf(label)
    if (found >= 0) {
      this.counts[found]!++
    } else if (this.labels.length < burnConstants.maximumCauses) {
      this.labels.push(label)
      this.counts.push(1)
    } else {
      const rarest = this.counts.indexOf(Math.min(...this.counts))
      this.labels[rarest] = label
      this.counts[rarest]!++
    }
  }

  list (): readonly BurnCause[] {
    return this.labels.map((label, i) => ({ label, count: this.counts[i]! }))
  }
}

import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { StorePosition } from '../model/storePosition.js'

/**
 * The era of the store, which rises each time it comes back from an older copy of itself. What this process knows of an
 * earlier era may be undone: revisions and lease ids are given out again.
 */
export class StoreEra {
  private newest: StorePosition = { era: 0, revision: 0 }
  private readonly listeners = new Set<() => void>()

  constructor (private readonly logger: Logger, private readonly metrics: Metrics) {}

  /** The newest era that the store has named; 0 before its first answer. */
  getCurrent (): number {
    return this.newest.era
  }

  /** Calls the listener each time the store turns out to be restored, until the returned function is called. */
  addListener (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Records the era of an answer and the revision that it names, if any. */
  observeAnswer (era: number, revision: number | undefined): void {
    const previous = this.newest
    if (era < previous.era) return
    const hasRisen = era > previous.era
    const knownRevision = hasRisen ? 0 : previous.revision
    this.newest = { era, revision: Math.max(revision ?? 0, knownRevision) }
    this.metrics.setGauge('store_era', {}, era)
    if (!hasRisen || previous.era === 0) return
    this.metrics.addCount('store_restores', {})
    this.logger.recordWarning('store restored from an older copy', {
      era,
      previousEra: previous.era,
      revision,
      previousRevision: previous.revision
    })
    for (const notify of [...this.listeners]) notify()
  }
}

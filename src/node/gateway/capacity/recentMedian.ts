import { capacityConstants } from './constants.js'

/** Median of the newest figures of some engines; each engine counts once, however many samples it gives. */
export class RecentMedian {
  /** In the order of the newest sample. */
  private readonly values = new Map<string, number>()
  private median: number | undefined

  /** Undefined before the first figure. */
  getMedian (): number | undefined {
    if (this.median === undefined && this.values.size > 0) {
      const sorted = [...this.values.values()].sort((a, b) => a - b)
      this.median = sorted[(sorted.length - 1) >> 1]
    }
    return this.median
  }

  set (engineId: string, value: number): void {
    this.values.delete(engineId)
    this.values.set(engineId, value)
    this.median = undefined
    if (this.values.size <= capacityConstants.medianEngines) return
    const [oldestId] = this.values.keys()
    this.values.delete(oldestId!)
  }

  remove (engineId: string): void {
    if (this.values.delete(engineId)) this.median = undefined
  }
}

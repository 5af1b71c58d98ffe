/** CPU time of a process over time, read in short intervals. */
export class UsageSeries {
  private readonly readings: { readonly atMs: number, readonly processorMs: number }[] = []

  recordReading (processorMs: number, atMs: number): void {
    this.readings.push({ atMs, processorMs })
  }

  /** Computes the CPU time used between two times, taken from the readings nearest to them. */
  computeProcessorMs (fromMs: number, toMs: number): number {
    return this.getNearest(toMs) - this.getNearest(fromMs)
  }

  private getNearest (atMs: number): number {
    const nearest = this.readings.reduce((best, reading) => Math.abs(reading.atMs - atMs) < Math.abs(best.atMs - atMs) ? reading : best)
    return nearest.processorMs
  }
}

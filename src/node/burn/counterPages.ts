/** Fixed-size records of 32-bit counters in shared pages, so that a record costs no object of its own. */
export class CounterPages {
  private readonly pages: Uint32Array[] = []
  private readonly freeRecords: number[] = []
  private usedRecords = 0

  constructor (private readonly recordWords: number, private readonly pageRecords = 512) {}

  /** Takes a record with all counters 0. */
  takeRecord (): number {
    const record = this.freeRecords.pop() ?? this.usedRecords++
    if (record >= this.pages.length * this.pageRecords) this.pages.push(new Uint32Array(this.recordWords * this.pageRecords))
    return record
  }

  /** Gives a record back. */
  releaseRecord (record: number): void {
    this.getCounters(record).fill(0)
    this.freeRecords.push(record)
  }

  /** The counters of a record; the array is a view and stays valid until the record is removed. */
  getCounters (record: number): Uint32Array {
    const offset = (record % this.pageRecords) * this.recordWords
    return this.pages[Math.floor(record / this.pageRecords)]!.subarray(offset, offset + this.recordWords)
  }

  countBytes (): number {
    return this.pages.length * this.pageRecords * this.recordWords * 4
  }
}

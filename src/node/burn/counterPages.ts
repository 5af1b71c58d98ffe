/** Allocates fixed-size records of 32-bit counters in shared pages, so that records need no objects of their own. */
export class CounterPages {
  private readonly pages: Uint32Array[] = []
  private readonly freeRecords: number[] = []
  private usedRecords = 0

  constructor (private readonly recordWords: number, private readonly recordsPerPage = 512) {}

  /** Allocates a record with all counters 0 and returns its index. */
  takeRecord (): number {
    const record = this.freeRecords.pop() ?? this.usedRecords++
    if (record >= this.pages.length * this.recordsPerPage) this.pages.push(new Uint32Array(this.recordWords * this.recordsPerPage))
    return record
  }

  /** Clears a record and makes it available again. */
  releaseRecord (record: number): void {
    this.getCounters(record).fill(0)
    this.freeRecords.push(record)
  }

  /** Returns the counters of a record as a view, which is valid until the record is released. */
  getCounters (record: number): Uint32Array {
    const offset = (record % this.recordsPerPage) * this.recordWords
    return this.pages[Math.floor(record / this.recordsPerPage)]!.subarray(offset, offset + this.recordWords)
  }

  countBytes (): number {
    return this.pages.length * this.recordsPerPage * this.recordWords * 4
  }
}

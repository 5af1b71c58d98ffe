import { burnConstants } from './constants.js'
import { CauseCounter } from './causeCounter.js'
import { mergeCauses } from './mergeCauses.js'
import type { BurnCause } from './burnCause.js'

/** Causes of one type (code, stage or upstream) in the current and the previous time slice. */
export class CauseSlices {
  private current = new CauseCounter()
  private previous = new CauseCounter()
  private currentSlice = 0

  observe (label: string, atMs: number): void {
    this.updateSlice(atMs)
    this.current.observe(label.slice(0, burnConstants.maximumLabelLength))
  }

  list (nowMs: number): readonly BurnCause[] {
    this.updateSlice(nowMs)
    return mergeCauses([this.current.list(), this.previous.list()])
  }

  private updateSlice (nowMs: number): void {
    const slice = Math.floor(nowMs / burnConstants.causeSliceMs)
    if (slice <= this.currentSlice) return
    this.previous = slice === this.currentSlice + 1 ? this.current : new CauseCounter()
    this.current = new CauseCounter()
    this.currentSlice = slice
  }
}

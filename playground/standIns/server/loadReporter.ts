import type { FaultState } from './faultState.js'
import { LagBuffer } from './lagBuffer.js'
import type { LoadSnapshot } from './loadSnapshot.js'

const snapshotIntervalMs = 100

/** Takes a load snapshot every 100 ms and builds the reports of `GET /load` from the one of `lagMs` ago. */
export class LoadReporter {
  private readonly snapshots = new LagBuffer<LoadSnapshot>()
  private readonly timer: NodeJS.Timeout

  constructor (private readonly readLoad: () => Omit<LoadSnapshot, 'atMs'>, private readonly lagMs: number, private readonly faults: FaultState) {
    this.addSnapshot()
    this.timer = setInterval(() => this.addSnapshot(), snapshotIntervalMs)
  }

  /** Builds a report of the past load with the current state: `leaving` is reported without a lag. */
  buildReport (): LoadSnapshot & { readonly state: 'live' | 'leaving' } {
    const snapshot = this.snapshots.findSnapshot(this.faults.settings.reportLagMs ?? this.lagMs, performance.now())
    const state = this.faults.settings.leaving ? 'leaving' : 'live'
    return { ...(snapshot ?? { ...this.readLoad(), atMs: Date.now() }), state }
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private addSnapshot (): void {
    this.snapshots.addSnapshot({ ...this.readLoad(), atMs: Date.now() }, performance.now())
  }
}

import { versionConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'

/**
 * Bounds the records of streams that begin at the base version, which are written for restores of the store only: all
 * hosts receive and keep them.
 */
export class BaseRecordAllowance {
  private level: number | undefined
  private updatedAtMs = 0

  constructor (private readonly countHosts: () => number, private readonly clock: Clock) {}

  /** Takes one record from this host's share; returns whether there was one left. */
  takeRecord (): boolean {
    const { fleetBaseRecordsPerS, baseRecordBurstMs } = versionConstants
    const perMs = fleetBaseRecordsPerS / 1000 / this.countHosts()
    const nowMs = this.clock.readMonotonicMs()
    const most = perMs * baseRecordBurstMs
    this.level = Math.min(most, (this.level ?? most) + perMs * (nowMs - this.updatedAtMs))
    this.updatedAtMs = nowMs
    if (this.level < 1) return false
    this.level--
    return true
  }
}

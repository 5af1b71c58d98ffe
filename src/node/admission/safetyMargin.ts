import { admissionConstants } from './constants.js'

/** Safety margin of one request kind: rises while admitted requests miss their objective. */
export class SafetyMargin {
  private value = 0
  private updatedMs = 0

  /** Factor on predicted times, from 1 to 2. */
  computeFactor (nowMs: number): number {
    return 1 + this.value * Math.exp((this.updatedMs - nowMs) / admissionConstants.marginDecayMs)
  }

  observe (attained: boolean, nowMs: number): void {
    const step = attained ? -admissionConstants.marginFall : admissionConstants.marginRise
    this.value = Math.min(1, Math.max(0, this.computeFactor(nowMs) - 1 + step))
    this.updatedMs = nowMs
  }
}

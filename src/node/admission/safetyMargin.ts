import { admissionConstants } from './constants.js'

/** Safety margin for one account and request kind. It rises while admitted requests miss their objective. */
export class SafetyMargin {
  private value = 0
  private updatedMs = 0

  /** Factor on the predicted queueing time, from 1 to 2. */
  computeFactor (nowMs: number): number {
    return 1 + this.value * Math.exp((this.updatedMs - nowMs) / admissionConstants.marginDecayMs)
  }

  observe (attained: boolean, nowMs: number): void {
    const step = attained ? -admissionConstants.marginFall : admissionConstants.marginRise
    this.value = Math.min(1, Math.max(0, this.computeFactor(nowMs) - 1 + step))
    this.updatedMs = nowMs
  }
}

import { admissionConstants } from './constants.js'

/** Recent usage of each account relative to its contract. */
export class AccountUsage {
  private readonly usageByAccount = new Map<string, { value: number, updatedMs: number }>()
  private meanUsage = 0

  /** Records one admitted request of an account whose contract allows `requestsPerSecond`. */
  add (account: string, requestsPerSecond: number, nowMs: number): void {
    const value = this.computeUsage(account, nowMs) + 1 / Math.max(requestsPerSecond, 0.001)
    this.usageByAccount.set(account, { value, updatedMs: nowMs })
    this.meanUsage += 0.01 * (value - this.meanUsage)
  }

  /** Factor on the wait share: 1, or less for an account whose usage clearly exceeds the mean of the admitted requests. */
  computeFactor (account: string, nowMs: number): number {
    const usage = this.computeUsage(account, nowMs)
    const fairUsage = this.meanUsage * admissionConstants.fairUsageRatio
    if (usage <= fairUsage || fairUsage === 0) return 1
    return Math.max(admissionConstants.minUsageFactor, (fairUsage / usage) ** 2)
  }

  private computeUsage (account: string, nowMs: number): number {
    const usage = this.usageByAccount.get(account)
    return usage === undefined ? 0 : usage.value * Math.exp((usage.updatedMs - nowMs) / admissionConstants.usageDecayMs)
  }
}

import { admissionConstants } from './constants.js'

/** Recent use of each account relative to its contract. */
export class AccountUsage {
  private readonly usageByAccount = new Map<string, { value: number, updatedMs: number }>()
  private meanUsage = 0

  /** Records one admitted request of an account whose contract allows `requestsPerSecond`. */
  add (account: string, requestsPerSecond: number, nowMs: number): void {
    const value = this.computeUsage(account, nowMs) + 1 / Math.max(requestsPerSecond, 0.001)
    this.usageByAccount.set(account, { value, updatedMs: nowMs })
    this.meanUsage += 0.01 * (value - this.meanUsage)
  }

  /** At most 1; less for an account that uses clearly more of its contract than the mean of admitted requests. */
  computeFactor (account: string, nowMs: number): number {
    const use = this.computeUsage(account, nowMs)
    const fair = this.meanUsage * admissionConstants.fairUsageRatio
    if (use <= fair || fair === 0) return 1
    return Math.max(admissionConstants.minUsageFactor, (fair / use) ** 2)
  }

  private computeUsage (account: string, nowMs: number): number {
    const use = this.usageByAccount.get(account)
    return use === undefined ? 0 : use.value * Math.exp((use.updatedMs - nowMs) / admissionConstants.usageDecayMs)
  }
}

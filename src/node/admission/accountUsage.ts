import { admissionConstants } from './constants.js'

/** Recent use of each account relative to its contract. */
export class AccountUse {
  private readonly uses = new Map<string, { value: number, updatedMs: number }>()
  private mean = 0

  /** Records one admitted request of an account whose contract allows `requestsPerSecond`. */
  add (account: string, requestsPerSecond: number, nowMs: number): void {
    const value = this.getUse(account, nowMs) + 1 / Math.max(requestsPerSecond, 0.001)
    this.uses.set(account, { value, updatedMs: nowMs })
    this.mean += 0.01 * (value - this.mean)
  }

  /** At most 1; less for an account that uses clearly more of its contract than the mean of admitted requests. */
  computeFactor (account: string, nowMs: number): number {
    const use = this.getUse(account, nowMs)
    const fair = this.mean * admissionConstants.fairUse
    if (use <= fair || fair === 0) return 1
    return Math.max(admissionConstants.leastUseFactor, (fair / use) ** 2)
  }

  private getUse (account: string, nowMs: number): number {
    const use = this.uses.get(account)
    return use === undefined ? 0 : use.value * Math.exp((use.updatedMs - nowMs) / admissionConstants.useDecayMs)
  }
}

import type { HostTimings } from '../model/hostTimings.js'

/**
 * Share of the fleet-wide budget that the hosts use, so that they don't exceed it when they see different fleet sizes.
 */
const usableShare = 0.7

/**
 * This host's part of the retry budget of the fleet: the fixed part is divided by the number of hosts, the ratio
 * applies to this host's own requests. Limits the load after an upstream failure, when all hosts want to retry at once.
 */
export class RetryBudget {
  private readonly windows = new Map<string, { requests: number[], retries: number[] }>()

  constructor (private readonly getTimings: () => HostTimings, private readonly countHosts: () => number) {}

  /** Records the first attempt of a request. */
  recordRequest (service: string, nowMs: number): void {
    this.getWindow(service, nowMs).requests.push(nowMs)
  }

  /** Takes one retry from the budget; false when the budget is used up. */
  takeRetry (service: string, nowMs: number): boolean {
    const { requests, retries } = this.getWindow(service, nowMs)
    const { extraRetries, retryRatio } = this.getTimings()
    const allowed = usableShare * (extraRetries / this.countHosts() + retryRatio * requests.length)
    if (retries.length + 1 > allowed) return false
    retries.push(nowMs)
    return true
  }

  private getWindow (service: string, nowMs: number): { requests: number[], retries: number[] } {
    const window = this.windows.get(service) ?? { requests: [], retries: [] }
    this.windows.set(service, window)
    const { retryWindowMs } = this.getTimings()
    removeBefore(window.requests, nowMs - retryWindowMs)
    removeBefore(window.retries, nowMs - retryWindowMs)
    return window
  }
}

function removeBefore (times: number[], beforeMs: number): void {
  let count = 0
  while (count < times.length && times[count]! < beforeMs) count++
  if (count > 0) times.splice(0, count)
}

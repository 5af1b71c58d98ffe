import type { HostTimings } from '../model/hostTimings.js'

/** Share of the fleet's budget that the hosts use, so that different views of the fleet's size cannot exceed it. */
const usableShare = 0.7

/**
 * This host's part of the budget for second sendings, which counts over all hosts: the fixed part is divided by the
 * number of hosts, the ratio applies to this host's own requests. The load it answers: an upstream failure, when all
 * hosts want to send again at once.
 */
export class RetryBudget {
  private readonly windows = new Map<string, { firsts: number[], repeats: number[] }>()

  constructor (private readonly getTimings: () => HostTimings, private readonly countHosts: () => number) {}

  /** A request was sent for the first time. */
  recordRequest (service: string, nowMs: number): void {
    this.getWindow(service, nowMs).firsts.push(nowMs)
  }

  /** Takes one second sending from the budget; false when it is used up. */
  takeRetry (service: string, nowMs: number): boolean {
    const { firsts, repeats } = this.getWindow(service, nowMs)
    const { extraRetries, retryRatio } = this.getTimings()
    const allowed = usableShare * (extraRetries / this.countHosts() + retryRatio * firsts.length)
    if (repeats.length + 1 > allowed) return false
    repeats.push(nowMs)
    return true
  }

  private getWindow (service: string, nowMs: number): { firsts: number[], repeats: number[] } {
    const window = this.windows.get(service) ?? { firsts: [], repeats: [] }
    this.windows.set(service, window)
    const { retryWindowMs } = this.getTimings()
    removeOld(window.firsts, nowMs - retryWindowMs)
    removeOld(window.repeats, nowMs - retryWindowMs)
    return window
  }
}

function removeOld (times: number[], beforeMs: number): void {
  let count = 0
  while (count < times.length && times[count]! < beforeMs) count++
  if (count > 0) times.splice(0, count)
}

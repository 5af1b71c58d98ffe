import { createAccountLimiter } from '../../src/node/limits/createAccountLimiter.js'
import type { ContractRevision } from '../../src/types/contractRevision.js'
import type { ContractView } from '../../src/types/contractView.js'
import { createMemoryMetrics } from './createMemoryMetrics.js'
import { MembershipCluster } from './membershipCluster.js'

/** Decision of a limiter on one request. */
interface LimitDecision {
  readonly account: string
  readonly host: string
  readonly atMs: number
  readonly granted: boolean
}

/** Hosts with membership and account limits under virtual time, and a load with random arrivals that the seed determines. */
export class LimitCluster extends MembershipCluster {
  readonly limiters = new Map<string, ReturnType<typeof createAccountLimiter>>()
  readonly decisions: LimitDecision[] = []

  constructor (seed: number, private readonly rates: Readonly<Record<string, number>>) {
    super(seed)
  }

  override addHost (id: string): ReturnType<MembershipCluster['addHost']> {
    const host = super.addHost(id)
    const limiter = createAccountLimiter({
      contracts: this.createContracts(),
      membership: host.membership,
      transport: host.transport,
      metrics: createMemoryMetrics(),
      clock: this.clock,
      scheduler: host.scheduler,
      random: this.random
    })
    this.limiters.set(id, limiter)
    limiter.start()
    return host
  }

  /** Sends on average `perSecond` requests a second of `account` at random times to the hosts that `chooseHost` returns. */
  startLoad (account: string, perSecond: number, chooseHost: () => string): () => void {
    let isStopped = false
    const scheduleNext = (): void => {
      this.clock.schedule(-Math.log(1 - this.random()) * 1000 / perSecond, () => {
        if (isStopped) return
        scheduleNext()
        this.sendRequest(account, chooseHost()).catch(() => {})
      })
    }
    scheduleNext()
    return () => { isStopped = true }
  }

  /** Returns the maximum number of granted requests in any window of 10 s, as a share of the contract. */
  computeMaxShare (account: string): number {
    const times = this.decisions.filter(decision => decision.account === account && decision.granted).map(decision => decision.atMs)
    let windowStart = 0
    let maxCount = 0
    times.forEach((atMs, i) => {
      while ((times[windowStart] as number) <= atMs - 10_000) windowStart++
      maxCount = Math.max(maxCount, i - windowStart + 1)
    })
    return maxCount / (10 * (this.rates[account] ?? 0))
  }

  /** Returns the minimum number of granted requests in the windows of 10 s from `fromMs` to `toMs`, as a share of `perSecond`. */
  computeMinShare (account: string, perSecond: number, fromMs: number, toMs: number): number {
    const times = this.decisions.filter(decision => decision.account === account && decision.granted).map(decision => decision.atMs)
    let minCount = Infinity
    for (let startMs = fromMs; startMs + 10_000 <= toMs; startMs += 250) {
      minCount = Math.min(minCount, times.filter(atMs => atMs >= startMs && atMs < startMs + 10_000).length)
    }
    return minCount / (10 * perSecond)
  }

  private async sendRequest (account: string, host: string): Promise<void> {
    const limiter = this.limiters.get(host)
    if (!limiter) return
    await limiter.waitForCredit(account, 50)
    const atMs = this.clock.readMonotonicMs()
    this.decisions.push({ account, host, atMs, granted: limiter.take(account, atMs).granted })
  }

  private createContracts (): ContractView {
    const find = (account: string): ContractRevision | undefined => {
      const requestsPerSecond = this.rates[account]
      if (requestsPerSecond === undefined) return undefined
      const contract = { account, tokenDigests: [], requestsPerSecond, tokensPerSecond: 0, kinds: {} }
      return { account, revision: 1, contract, operator: '', atMs: 0, token: '' }
    }
    return { find, findByTokenDigest: () => undefined, list: () => [], onApplied: () => () => {} }
  }
}

import type { LimitCluster } from './limitCluster.js'

/** Faults of the limits: accounts that got less than 95% of their contract in a window of 10 s between the two times. */
export function validateMinShare (cluster: LimitCluster, fromMs: number, toMs: number): readonly string[] {
  return [['large', 100], ['small', 5]].flatMap(([account, rate]) => {
    const share = cluster.computeMinShare(account as string, rate as number, fromMs, toMs)
    return share >= 0.95 ? [] : [`${account} got ${share} of its contract`]
  })
}

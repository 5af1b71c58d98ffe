import type { LimitCluster } from './limitCluster.js'

/** Returns the violations of the lower limit: accounts that were granted less than 95% of their contract in a window of 10 s from `fromMs` to `toMs`. */
export function validateMinShare (cluster: LimitCluster, fromMs: number, toMs: number): readonly string[] {
  return [['large', 100], ['small', 5]].flatMap(([account, rate]) => {
    const share = cluster.computeMinShare(account as string, rate as number, fromMs, toMs)
    return share >= 0.95 ? [] : [`${account} got ${share} of its contract`]
  })
}

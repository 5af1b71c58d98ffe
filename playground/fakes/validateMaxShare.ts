import type { LimitCluster } from './limitCluster.js'

/** Returns the violations of the upper limit: accounts that were granted more than 105% of their contract in a window of 10 s. */
export function validateMaxShare (cluster: LimitCluster): readonly string[] {
  return ['large', 'small'].flatMap(account => {
    const share = cluster.computeMaxShare(account)
    return share <= 1.05 ? [] : [`${account} got ${share} of its contract`]
  })
}

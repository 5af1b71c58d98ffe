import t from 'tap'
import { computeLimitLifetimeMs } from '../computeLimitLifetimeMs.js'
import { computeLimitShare } from '../computeLimitShare.js'
import { LimitShare } from '../limitShare.js'
import { upstreamConstants } from '../constants.js'

const { maxLimitHosts, limitProbeShare, minLimitLifetimeMs, maxLimitLifetimeMs } = upstreamConstants
const listHostIds = (count: number): readonly string[] => Array.from({ length: count }, (_, i) => `host-${i}`)

t.test('the shares of all hosts add up to the limit, and few hosts have one', t => {
  for (const count of [1, 3, 4, 78, 344]) {
    const hostIds = listHostIds(count)
    const shares = hostIds.map(id => computeLimitShare('i-1', id, hostIds))
    t.equal(shares.reduce((sum, share) => sum + share, 0), 1)
    t.equal(shares.filter(share => share > 0).length, Math.min(count, maxLimitHosts))
  }
  t.equal(computeLimitShare('i-1', 'host-new', []), 0, 'a host that is not ready has none')
  t.end()
})

t.test('guards against more requests than a limit allows, at 4 to 344 hosts under full load', t => {
  for (const hostCount of [4, 30, 78, 344]) {
    for (const limit of [0.5, 1, 3]) {
      const hostIds = listHostIds(hostCount)
      const buckets = hostIds.map(id => new LimitShare(limit * computeLimitShare('i-1', id, hostIds), 0))
      const sentAtMs: number[] = []
      for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
        for (const bucket of buckets) {
          if (bucket.computeWaitMs(nowMs) > 0) continue
          bucket.takeToken(nowMs)
          sentAtMs.push(nowMs)
        }
      }
      const countFrom = (startMs: number): number => {
        return sentAtMs.filter(atMs => atMs >= startMs && atMs < startMs + 4000).length
      }
      const most = Math.max(...sentAtMs.map(countFrom))
      t.ok(most <= limit * 4 * 1.5 + 5, `${hostCount} hosts, ${limit} a second: ${most} in 4 s`)
      t.ok(sentAtMs.length >= limit * 60 * 0.9, `${hostCount} hosts, ${limit} a second: ${sentAtMs.length} in 60 s`)
    }
  }
  t.end()
})

t.test('a host that was idle sends one request at once, and a request that is not sent returns its place', t => {
  const share = new LimitShare(1, 0)
  t.equal(share.computeWaitMs(0), 1000, 'none before the first interval has passed')
  t.equal(share.computeWaitMs(60_000), 0)
  share.takeToken(60_000)
  t.equal(share.computeWaitMs(60_000), 1000)
  share.releaseToken()
  t.equal(share.computeWaitMs(60_000), 0)
  t.equal(new LimitShare(0, 0).computeWaitMs(60_000), Infinity)
  t.end()
})

t.test('hosts without a share ask rarely whether the limit still holds', t => {
  t.equal(computeLimitLifetimeMs(5, 4), minLimitLifetimeMs)
  t.equal(computeLimitLifetimeMs(0, 4), maxLimitLifetimeMs)
  const hostCount = 40
  const probesPerSecond = hostCount / (computeLimitLifetimeMs(1, hostCount) / 1000)
  t.ok(probesPerSecond <= limitProbeShare + 1e-9, 'all of them together use a small part of the limit')
  t.end()
})

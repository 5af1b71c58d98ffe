import { runClaimLoad } from '../benchClaims/runClaimLoad.js'
import type { CapacitySeries } from './capacitySeries.js'
import { createSeries } from './createSeries.js'

/** Assumes that one in ten of 26,000 requests/s runs at most once; the design page states no share. */
const targetClaims = 2600
/** Numbers of hosts and claims per second. */
const loads = [[5, 50], [20, 200], [80, 800], [340, 2600]] as const
const hostCounts = [5, 20, 80, 340] as const
const steadyClaims = 400

/** Measures the calls of claims to the key-value service by claims per second and by number of hosts. */
export async function runClaims (): Promise<readonly CapacitySeries[]> {
  const byClaims = []
  for (const [hosts, claimsPerSecond] of loads) byClaims.push({ size: claimsPerSecond, cost: await runClaimLoad({ hosts, claimsPerSecond, isForwarded: true }, 1) })
  const byHosts = []
  for (const hosts of hostCounts) byHosts.push({ size: hosts, cost: await runClaimLoad({ hosts, claimsPerSecond: steadyClaims, isForwarded: true }, 1) })
  const claims = { part: 'claims', sizeName: 'claims/s', targetSize: targetClaims }
  const hosts = { part: 'claims', sizeName: 'hosts at 400 claims/s', targetSize: 340 }
  return [
    createSeries({ ...claims, figure: 'writes to the key-value service', unit: 'writes/s' }, byClaims.map(({ size, cost }) => [size, [cost.writesPerSecond]])),
    createSeries({ ...claims, figure: 'calls to the key-value service per claim', unit: 'calls' }, byClaims.map(({ size, cost }) => [size, [cost.callsPerClaim]])),
    createSeries({ ...claims, figure: 'time to a confirmed claim, 99%', unit: 'ms' }, byClaims.map(({ size, cost }) => [size, [cost.p99Ms]])),
    createSeries({ ...hosts, figure: 'writes to the key-value service', unit: 'writes/s' }, byHosts.map(({ size, cost }) => [size, [cost.writesPerSecond]]))
  ]
}

import { runClaimLoad } from './runClaimLoad.js'

const columnWidths = [7, 10, 11, 11, 10, 13, 6]

function formatRow (columns: readonly (string | number)[]): string {
  return columns.map((column, i) => String(column).padEnd(columnWidths[i]!)).join('')
}

async function runAll (): Promise<void> {
  console.log(formatRow(['hosts', 'claims/s', 'forwarded', 'held', 'writes/s', 'calls/claim', 'p99 ms']))
  for (const isForwarded of [false, true]) {
    for (const [hosts, claimsPerSecond] of [[1, 10], [5, 10], [5, 50], [5, 200], [20, 50], [20, 200], [20, 800], [80, 800], [340, 2600]] as const) {
      if (!isForwarded && claimsPerSecond > 200) continue
      const cost = await runClaimLoad({ hosts, claimsPerSecond, isForwarded }, 1)
      console.log(formatRow([hosts, claimsPerSecond, isForwarded ? 'yes' : 'no', `${cost.held}/${cost.claims}`, Math.round(cost.writesPerSecond), cost.callsPerClaim.toFixed(2), Math.round(cost.p99Ms)]))
    }
  }
}

void runAll()

import { runMembershipCluster } from './runMembershipCluster.js'
import { runMembershipWire } from './runMembershipWire.js'

const seed = Number(process.argv[2] ?? 1)

async function runAll (): Promise<void> {
  for (const size of [5, 50, 340]) console.log(JSON.stringify(await runMembershipCluster(size, seed)))
  console.log(JSON.stringify(await runMembershipWire(2000)))
}

runAll().then(() => process.exit(0), (error: unknown) => {
  console.error(error)
  process.exit(1)
})

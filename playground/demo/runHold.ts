import { setTimeout as waitMs } from 'node:timers/promises'
import type { ExampleDeployment } from '../examples/exampleDeployment.js'
import type { Deployment } from '../processes/deployment.js'
import { demoConstants } from './constants.js'

/** Starts the deployment, prints the addresses and a token for manual requests, and keeps it running until the program is interrupted. */
export async function runHold (example: ExampleDeployment, deployment: Deployment): Promise<number> {
  await deployment.start()
  const account = example.accounts[0]
  const kinds = Object.keys(example.contracts.find(contract => contract.account === account?.account)?.kinds ?? {})
  console.log(`${example.operator}: ${deployment.entryHosts.map(host => host.address).join(', ')}`)
  console.log(`account ${account?.account}, token ${account?.token}, kinds ${kinds.join(', ')}; end with Ctrl-C`)
  await waitMs(demoConstants.maxHoldMs)
  return 0
}

import { dirname, resolve } from 'node:path'
import sade from 'sade'
import { exampleDeployments } from '../examples/exampleDeployments.js'
import { createDeployment } from '../processes/createDeployment.js'
import { InterruptWatch } from '../processes/interruptWatch.js'
import { demoConstants } from './constants.js'
import { runHold } from './runHold.js'
import { runDemo } from './runDemo.js'

sade('demo', true)
  .describe('Runs an example deployment locally and sends a mixed load to it.')
  .option('--example', 'ferry or kouign', 'ferry')
  .option('--seed', 'seed of the load', 1)
  .option('--requests', 'number of requests', 400)
  .option('--hold', 'send no load, but keep the deployment running for manual requests until interrupted')
  .action(startDemo)
  .parse(process.argv)

async function startDemo (flags: { example: string, seed: number, requests: number, hold?: boolean }): Promise<void> {
  const example = exampleDeployments[flags.example]
  const seed = Number(flags.seed)
  const requests = Number(flags.requests)
  if (!example || !Number.isInteger(seed) || !Number.isInteger(requests) || requests < 1) {
    console.error('--example must be ferry or kouign, --seed must be an integer and --requests a positive integer')
    process.exit(2)
  }
  const deployment = createDeployment({
    example,
    distDirectory: dirname(dirname(resolve(process.argv[1] as string))),
    firstHostPort: flags.hold === true ? demoConstants.holdPort : undefined,
    hostEnvironment: { LYCHEETRACK_ROUTE_LIFETIME_MS: String(demoConstants.routeLifetimeMs) }
  })
  const watch = new InterruptWatch(() => deployment.stop(demoConstants.interruptTimeoutMs))
  watch.start(flags.hold === true ? demoConstants.maxHoldMs : demoConstants.maxRunMs)
  await watch.runProgram(() => flags.hold === true ? runHold(example, deployment) : runDemo({ example, deployment, seed, requests }))
}

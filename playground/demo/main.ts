import { dirname, resolve } from 'node:path'
import sade from 'sade'
import { exampleDeployments } from '../examples/exampleDeployments.js'
import { createDeployment } from '../processes/createDeployment.js'
import { demoConstants } from './constants.js'
import { runDemo } from './runDemo.js'

sade('demo', true)
  .describe('Runs an example deployment on this machine and sends it a mixed load.')
  .option('--example', 'ferry or kouign', 'ferry')
  .option('--seed', 'seed of the load', 1)
  .option('--requests', 'number of requests', 400)
  .action(startDemo)
  .parse(process.argv)

async function startDemo (flags: { example: string, seed: number, requests: number }): Promise<void> {
  const example = exampleDeployments[flags.example]
  const seed = Number(flags.seed)
  const requests = Number(flags.requests)
  if (!example || !Number.isInteger(seed) || !Number.isInteger(requests) || requests < 1) {
    console.error('--example is ferry or kouign, --seed and --requests are whole numbers')
    process.exit(2)
  }
  const deployment = createDeployment({
    example,
    distDirectory: dirname(dirname(resolve(process.argv[1] as string))),
    hostEnvironment: { LYCHEETRACK_ROUTE_LIFETIME_MS: String(demoConstants.routeLifetimeMs) }
  })
  let isStopping = false
  // Only the first reason counts: stopping makes the run itself fail, and a second signal must not leave processes behind.
  const stopEarly = async (reason: string, code: number): Promise<void> => {
    if (isStopping) return
    isStopping = true
    console.error(reason)
    await deployment.stop(demoConstants.interruptTimeoutMs).catch(() => {})
    process.exit(code)
  }
  process.on('SIGINT', () => { stopEarly('interrupted', 130) })
  process.on('SIGTERM', () => { stopEarly('terminated', 143) })
  setTimeout(() => { stopEarly(`the demo did not end within ${demoConstants.largestRunMs} ms`, 1) }, demoConstants.largestRunMs).unref()
  try {
    const code = await runDemo({ example, deployment, seed, requests })
    if (!isStopping) process.exit(code)
  } catch (error) {
    await stopEarly(`the demo failed: ${String(error)}`, 1)
  }
}

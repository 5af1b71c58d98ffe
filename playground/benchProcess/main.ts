import { writeFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import sade from 'sade'
import { createDeployment } from '../processes/createDeployment.js'
import type { Deployment } from '../processes/deployment.js'
import { InterruptWatch } from '../processes/interruptWatch.js'
import { buildBenchExample } from './buildBenchExample.js'
import { listBenchFaults } from './listBenchFaults.js'
import { renderBench } from './renderBench.js'
import { runBench } from './runBench.js'

const stopTimeoutMs = 3000
const maxRunMs = 30 * 60_000
const parts = ['all', 'relay', 'idle'] as const

sade('benchProcess', true)
  .describe('Measures the relay throughput of entry-host processes, and the CPU time, memory and traffic of idle ones.')
  .option('--rounds', 'rounds over all variants', 3)
  .option('--seconds', 'length of a stream in seconds', 6)
  .option('--part', 'all, relay or idle', 'all')
  .option('--json', 'file for the measurements of every round')
  .action(startBench)
  .parse(process.argv)

async function startBench (flags: { rounds: number, seconds: number, part: string, json?: string }): Promise<void> {
  const part = parts.find(name => name === flags.part)
  const rounds = Number(flags.rounds)
  const seconds = Number(flags.seconds)
  if (part === undefined || !(rounds >= 1) || !(seconds > 0)) {
    console.error('--part must be all, relay or idle; --rounds must be at least 1 and --seconds positive')
    process.exit(2)
  }
  const deployments: Deployment[] = []
  const watch = new InterruptWatch(() => Promise.all(deployments.map(deployment => deployment.stop(stopTimeoutMs))))
  watch.start(maxRunMs)
  await watch.runProgram(async () => {
    const report = await runBench({
      rounds,
      seconds,
      part,
      stopTimeoutMs,
      createDeployment: hostCount => {
        const deployment = createBenchDeployment(hostCount, seconds)
        deployments.push(deployment)
        return deployment
      },
      reportProgress: step => { if (process.stderr.isTTY) process.stderr.write(`${step}\n`) }
    })
    if (flags.json !== undefined) writeFileSync(flags.json, JSON.stringify(report, null, 1))
    console.log(renderBench(report).trimEnd())
    const faults = listBenchFaults(report)
    for (const fault of faults) console.log(`FAILED ${fault}`)
    return faults.length === 0 ? 0 : 1
  })
}

function createBenchDeployment (hostCount: number, seconds: number): Deployment {
  return createDeployment({
    example: buildBenchExample(hostCount, seconds),
    distDirectory: dirname(dirname(resolve(process.argv[1] as string))),
    // Each stream takes one connection to its engine. The drain at the end, which is not measured, is kept short.
    hostEnvironment: { LYCHEETRACK_MAX_CONNECTIONS_PER_UPSTREAM: '2048', LYCHEETRACK_ROUTE_LIFETIME_MS: '100' }
  })
}

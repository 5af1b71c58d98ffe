import type { Deployment } from '../processes/deployment.js'
import type { BenchReport } from './benchReport.js'
import { buildBenchExample } from './buildBenchExample.js'
import { benchConstants } from './constants.js'
import type { IdleSample } from './idleSample.js'
import { runIdle } from './runIdle.js'
import { runRelay } from './runRelay.js'

interface BenchOptions {
  readonly rounds: number
  readonly seconds: number
  readonly part: 'all' | 'relay' | 'idle'
  readonly createDeployment: (hostCount: number) => Deployment
  readonly stopTimeoutMs: number
  readonly reportProgress: (step: string) => void
}

/** Runs the parts of the process benchmark; each deployment is stopped before the next one starts. */
export async function runBench (options: BenchOptions): Promise<BenchReport> {
  const { rounds, part } = options
  const relay = part === 'idle' ? { relays: [], shortRequestMs: [], delays: [] } : await runRelayPart(options)
  const idle = part === 'relay' ? [] : await runIdlePart(options)
  return { rounds, ...relay, idle }
}

async function runIdlePart (options: BenchOptions): Promise<readonly IdleSample[]> {
  const samples: IdleSample[] = []
  for (let round = 1; round <= options.rounds; round++) {
    for (const hosts of benchConstants.idleHosts) {
      options.reportProgress(`round ${round}: ${hosts} idle hosts`)
      samples.push(...await runWithDeployment(options, hosts, deployment => runIdle(deployment)))
    }
  }
  return samples
}

async function runRelayPart (options: BenchOptions): ReturnType<typeof runRelay> {
  const token = buildBenchExample(1, options.seconds).accounts[0]?.token ?? ''
  return runWithDeployment(options, 1, deployment => runRelay({ ...options, deployment, token }))
}

async function runWithDeployment<T> (options: BenchOptions, hostCount: number, run: (deployment: Deployment) => Promise<T>): Promise<T> {
  const deployment = options.createDeployment(hostCount)
  await deployment.start()
  try {
    return await run(deployment)
  } finally {
    await deployment.stop(options.stopTimeoutMs)
  }
}

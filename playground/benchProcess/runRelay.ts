import { Agent } from 'undici'
import type { Deployment } from '../processes/deployment.js'
import { BenchError } from './benchError.js'
import type { BenchReport } from './benchReport.js'
import type { BenchTarget } from './benchTarget.js'
import { benchConstants } from './constants.js'
import type { DelayResult } from './delayResult.js'
import { readProcessUsage } from './readProcessUsage.js'
import type { RelayResult } from './relayResult.js'
import type { RelayVariant } from './relayVariant.js'
import { runDelay } from './runDelay.js'
import { runConcurrently } from './runConcurrently.js'
import { runRelayVariant } from './runRelayVariant.js'
import { runStream } from './runStream.js'

interface RelayOptions {
  readonly deployment: Deployment
  readonly token: string
  readonly rounds: number
  /** Length of a stream. */
  readonly seconds: number
  readonly reportProgress: (step: string) => void
}

type RelayReport = Pick<BenchReport, 'relays' | 'shortRequestMs' | 'delays'>

/** Runs all variants of the relay benchmark in turn, round after round. */
export async function runRelay (options: RelayOptions): Promise<RelayReport> {
  const { rounds, seconds, reportProgress } = options
  const target = buildTarget(options, 'relayed', 'paced')
  const hostPid = getHost(options).process.pid ?? 0
  const variants = listVariants()
  const results = new Map<RelayVariant, RelayResult[]>(variants.map(variant => [variant, []]))
  const shortRequestMs: number[] = []
  const delays: DelayResult[] = []
  reportProgress('warm-up')
  const warmUp = await runRelayVariant({ path: 'relayed', pace: 'paced', streams: 100 }, target, hostPid, 1)
  if (warmUp.faults.length > 0) throw new BenchError(`${warmUp.faults.length} of 100 answers of the warm-up were incomplete, e.g. ${warmUp.faults[0]}`)
  await runShortRequests(target, hostPid)
  for (let round = 1; round <= rounds; round++) {
    for (const variant of variants) {
      reportProgress(`round ${round}: ${variant.path} ${variant.pace} ${variant.streams}`)
      results.get(variant)?.push(await runRelayVariant(variant, buildTarget(options, variant.path, variant.pace), hostPid, seconds))
    }
    reportProgress(`round ${round}: short requests and delays`)
    shortRequestMs.push(await runShortRequests(target, hostPid))
    delays.push(await runDelay(buildDelay(options, 'call')), await runDelay(buildDelay(options, 'chain')))
  }
  return { relays: [...results].map(([variant, list]) => ({ variant, results: list })), shortRequestMs, delays }
}

function listVariants (): readonly RelayVariant[] {
  return (['paced', 'fast'] as const).flatMap(pace => benchConstants.streams[pace].flatMap(streams => {
    return (['direct', 'relayed'] as const).map(path => ({ path, pace, streams }))
  }))
}

/** Measures the CPU time of the entry host for one request of one token, in milliseconds. */
async function runShortRequests (target: BenchTarget, hostPid: number): Promise<number> {
  const { shortRequests, shortConcurrency } = benchConstants
  const dispatcher = new Agent({ connections: shortConcurrency })
  const before = readProcessUsage(hostPid).processorMs
  await runConcurrently(shortRequests, shortConcurrency, async () => {
    const { fault } = await runStream({ target, dispatcher, kind: 'instant', tokenCount: 1, onTokens: () => {} })
    if (fault !== undefined) throw new BenchError(`the answer to a request of one token was incomplete: ${fault}`)
  })
  await dispatcher.destroy()
  return (readProcessUsage(hostPid).processorMs - before) / shortRequests
}

function buildTarget (options: RelayOptions, path: 'direct' | 'relayed', pace: 'paced' | 'fast'): BenchTarget {
  const address = path === 'direct' ? options.deployment.getAddress(`${pace}-1`) : getHost(options).address
  return { path, address, token: options.token }
}

function buildDelay (options: RelayOptions, name: 'call' | 'chain'): Parameters<typeof runDelay>[0] {
  const host = getHost(options)
  return {
    name,
    stagePaths: name === 'call' ? ['/call/read'] : ['/v1/encode', '/v1/retrieve', '/v1/rerank'],
    standInAddress: options.deployment.getAddress(name === 'call' ? 'service-1' : 'pool-1'),
    hostAddress: host.address,
    token: options.token,
    hostPid: host.process.pid ?? 0
  }
}

function getHost ({ deployment }: RelayOptions): Deployment['entryHosts'][number] {
  return deployment.entryHosts[0] as Deployment['entryHosts'][number]
}

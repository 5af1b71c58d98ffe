import { SingleBar } from 'cli-progress'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { RequestRecord } from '../caller/requestRecord.js'
import type { ExampleDeployment } from '../examples/exampleDeployment.js'
import type { Deployment } from '../processes/deployment.js'
import { buildSummaries } from './buildSummaries.js'
import { demoConstants } from './constants.js'
import { formatRefusals } from './formatRefusals.js'
import { listExecutionViolations } from './listExecutionViolations.js'
import { renderSummaries } from './renderSummaries.js'
import { runLoad } from './runLoad.js'

interface DemoOptions {
  readonly example: ExampleDeployment
  readonly deployment: Deployment
  readonly seed: number
  readonly requests: number
}

const maxPrintedFailures = 10

/** Starts the deployment, sends a mixed load to it and prints a summary; resolves with the exit code. */
export async function runDemo (options: DemoOptions): Promise<number> {
  const { example, deployment, seed, requests } = options
  const startMs = performance.now()
  await deployment.start()
  console.log(`${example.operator}: ${deployment.entryHosts.length} entry hosts, ${deployment.listUpstreams().length} upstreams, ${example.contracts.length} contracts in force after ${formatSeconds(startMs)}`)
  const records = await runWithProgress(options)
  console.log(renderSummaries(buildSummaries(example.contracts, records)).trimEnd())
  const refusals = formatRefusals(records)
  if (refusals !== '') console.log(`refused: ${refusals}`)
  const executionViolations = listExecutionViolations(listNonIdempotent(example, records), await readExecutions(options))
  const exitCodes = await deployment.stop(demoConstants.stopTimeoutMs)
  const gracefulStops = exitCodes.filter(code => code === 0).length
  const failures = [...records.filter(record => record.outcome === 'wrong' || record.outcome === 'failed').map(formatRecord), ...executionViolations]
  for (const failure of failures.slice(0, maxPrintedFailures)) console.log(`FAILED ${failure}`)
  console.log(`${records.length} of ${requests} requests checked, ${failures.length} failed; ${gracefulStops} of ${exitCodes.length} entry hosts drained; seed ${seed}; ${formatSeconds(startMs)}`)
  return failures.length === 0 && records.length === requests && gracefulStops === exitCodes.length ? 0 : 1
}

async function runWithProgress ({ example, deployment, seed, requests }: DemoOptions): Promise<readonly RequestRecord[]> {
  const bar = process.stdout.isTTY ? new SingleBar({ format: '{bar} {value}/{total} answered, {whole} whole, {refused} refused, {failed} failed', stream: process.stdout, hideCursor: true }) : undefined
  const counts = { whole: 0, refused: 0, failed: 0 }
  bar?.start(requests, 0, counts)
  try {
    return await runLoad({
      example,
      entryAddresses: deployment.entryHosts.map(host => host.address),
      requests,
      random: createSeededRandom(seed),
      onRecord: record => {
        if (record.outcome === 'whole') counts.whole++
        else if (record.outcome === 'refused') counts.refused++
        else if (record.outcome !== 'abandoned') counts.failed++
        bar?.increment(1, counts)
      }
    })
  } finally {
    bar?.stop()
  }
}

function listNonIdempotent (example: ExampleDeployment, records: readonly RequestRecord[]): readonly RequestRecord[] {
  return records.filter(record => example.contracts.some(contract => contract.account === record.account && contract.kinds[record.kind]?.idempotent === false))
}

async function readExecutions ({ example, deployment }: DemoOptions): Promise<readonly Readonly<Record<string, unknown>>[]> {
  const services = example.upstreams.filter(upstreams => upstreams.type === 'plain-service').flatMap(upstreams => deployment.listUpstreams(upstreams.pool))
  return (await Promise.all(services.map(id => deployment.readLog(id)))).flat()
}

function formatRecord (record: RequestRecord): string {
  return `${record.kind} ${record.requestIds.join(', ')} of ${record.account}: ${record.violation ?? `${record.code ?? 'no code'}, ran ${record.ran}, ${record.message ?? ''}`} (at ${record.addresses.join(', ')})`
}

function formatSeconds (sinceMs: number): string {
  return `${((performance.now() - sinceMs) / 1000).toFixed(1)} s`
}

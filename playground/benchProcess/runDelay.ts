import { build } from 'hdr-histogram-js'
import { Agent, type Dispatcher } from 'undici'
import { v7 as createRequestId } from 'uuid'
import { AnswerCheck } from '../caller/answerCheck.js'
import { benchConstants } from './constants.js'
import type { DelayResult } from './delayResult.js'
import { readProcessUsage } from './readProcessUsage.js'
import { runConcurrently } from './runConcurrently.js'

interface DelayOptions {
  readonly name: 'call' | 'chain'
  /** Paths of the stages at the stand-in, in order. */
  readonly stagePaths: readonly string[]
  /** `ip:port` of the stand-in and of the entry host. */
  readonly standInAddress: string
  readonly hostAddress: string
  readonly token: string
  readonly hostPid: number
}

/** Histogram of latencies in microseconds. */
type Latencies = ReturnType<typeof build>
/** Sends a request and resolves to the fault of its answer, if it has one. */
type Send = (marker: string, requestId: string) => Promise<string | undefined>

/** Measures one call or chain of stages through the entry host and directly; each sample runs both. */
export async function runDelay (options: DelayOptions): Promise<DelayResult> {
  const { delaySamples, delayWarmUp, delayConcurrency } = benchConstants
  const dispatcher = new Agent({ connections: delayConcurrency * 2 })
  const faults: string[] = []
  const direct = createLatencies()
  const relayed = createLatencies()
  const runPair = async (index: number): Promise<void> => {
    const runDirect = (): Promise<void> => recordLatency(direct, faults, (marker, requestId) => sendDirect(options, dispatcher, marker, requestId))
    const runRelayed = (): Promise<void> => recordLatency(relayed, faults, (marker, requestId) => sendRelayed(options, dispatcher, marker, requestId))
    // Each path comes first in half of the samples, so that neither gains from the order.
    for (const run of index % 2 === 0 ? [runDirect, runRelayed] : [runRelayed, runDirect]) await run()
  }
  await runConcurrently(delayWarmUp, delayConcurrency, runPair)
  direct.reset()
  relayed.reset()
  const before = readProcessUsage(options.hostPid).processorMs
  await runConcurrently(delaySamples, delayConcurrency, runPair)
  const processorMs = readProcessUsage(options.hostPid).processorMs - before
  await dispatcher.destroy()
  const read = (latencies: Latencies, percentile: number): number => latencies.getValueAtPercentile(percentile) / 1000
  const stages = options.stagePaths.length
  return {
    name: options.name,
    stages,
    directP50Ms: read(direct, 50),
    directP99Ms: read(direct, 99),
    relayedP50Ms: read(relayed, 50),
    relayedP99Ms: read(relayed, 99),
    addedPerStageP50Ms: (read(relayed, 50) - read(direct, 50)) / stages,
    addedPerStageP99Ms: (read(relayed, 99) - read(direct, 99)) / stages,
    processorMsPerRequest: processorMs / delaySamples,
    faults
  }
}

function createLatencies (): Latencies {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 })
}

async function recordLatency (latencies: Latencies, faults: string[], send: Send): Promise<void> {
  const requestId = createRequestId()
  const startMs = performance.now()
  const fault = await send(`m-${requestId}`, requestId).catch(error => String(error))
  latencies.recordValue(Math.max(1, Math.round((performance.now() - startMs) * 1000)))
  if (fault !== undefined) faults.push(fault)
}

async function sendDirect ({ stagePaths, standInAddress }: DelayOptions, dispatcher: Dispatcher, marker: string, requestId: string): Promise<string | undefined> {
  for (const [index, path] of stagePaths.entries()) {
    const body = JSON.stringify({ call_id: `bench/${requestId}/${index}/1`, input: { input: { text: `marker:${marker}` }, results: {} } })
    const answer = await dispatcher.request({ origin: `http://${standInAddress}`, path, method: 'POST', body })
    const text = await answer.body.text()
    if (answer.statusCode !== 200) return `status ${answer.statusCode}: ${text}`
  }
  return undefined
}

async function sendRelayed ({ name, hostAddress, token }: DelayOptions, dispatcher: Dispatcher, marker: string, requestId: string): Promise<string | undefined> {
  const answer = await dispatcher.request({
    origin: `http://${hostAddress}`,
    path: '/v1/requests',
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', 'request-id': requestId },
    body: JSON.stringify({ kind: name, input: { text: `marker:${marker}` }, stream: false })
  })
  const text = await answer.body.text()
  if (answer.statusCode !== 200) return `status ${answer.statusCode}: ${text}`
  return new AnswerCheck({ marker }).validateJson(requestId, JSON.parse(text))
}

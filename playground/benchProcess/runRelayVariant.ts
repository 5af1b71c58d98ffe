import { build } from 'hdr-histogram-js'
import { setTimeout as waitMs } from 'node:timers/promises'
import { Agent } from 'undici'
import type { BenchTarget } from './benchTarget.js'
import { benchConstants } from './constants.js'
import { readProcessUsage } from './readProcessUsage.js'
import type { RelayResult } from './relayResult.js'
import type { RelayVariant } from './relayVariant.js'
import { runStream } from './runStream.js'
import { TokenRate } from './tokenRate.js'

/** Runs the streams of a variant once. `hostPid`: the entry-host process; `seconds`: length of a stream. */
export async function runRelayVariant (variant: RelayVariant, target: BenchTarget, hostPid: number, seconds: number): Promise<RelayResult> {
  const { pacedStepMs, fastStepMs, spreadMs } = benchConstants
  const tokenCount = Math.round(seconds * 1000 / (variant.pace === 'paced' ? pacedStepMs : fastStepMs))
  const dispatcher = new Agent({ keepAliveTimeout: 1000 })
  const rate = new TokenRate()
  const gaps = createHistogram()
  const firstTokens = createHistogram()
  const onTokens = (count: number, gapMs: number | undefined): void => {
    rate.recordTokens(count, performance.now())
    if (gapMs !== undefined) gaps.recordValue(Math.max(1, Math.round(gapMs * 1000)))
  }
  const usageBefore = readProcessUsage(hostPid)
  const startMs = performance.now()
  const results = await Promise.all(Array.from({ length: variant.streams }, async (_, index) => {
    await waitMs(index * spreadMs / variant.streams)
    return runStream({ target, dispatcher, kind: variant.pace, tokenCount, onTokens })
  }))
  // The host finishes its own part of the last requests.
  await waitMs(100)
  const processorMs = readProcessUsage(hostPid).processorMs - usageBefore.processorMs
  await dispatcher.destroy()
  for (const result of results) firstTokens.recordValue(Math.max(1, Math.round(result.firstTokenMs * 1000)))
  return {
    tokensPerSecond: rate.computeRate(startMs + spreadMs, Math.min(...results.map(result => result.endedAtMs))),
    processorUsPerToken: processorMs * 1000 / rate.tokenCount,
    processorMsPerRequest: processorMs / variant.streams,
    tokensPerCore: rate.tokenCount / processorMs * 1000,
    firstTokenP50Ms: firstTokens.getValueAtPercentile(50) / 1000,
    firstTokenP99Ms: firstTokens.getValueAtPercentile(99) / 1000,
    gapP50Ms: gaps.getValueAtPercentile(50) / 1000,
    gapP99Ms: gaps.getValueAtPercentile(99) / 1000,
    faults: results.flatMap(result => result.fault === undefined ? [] : [result.fault])
  }
}

function createHistogram (): ReturnType<typeof build> {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 })
}

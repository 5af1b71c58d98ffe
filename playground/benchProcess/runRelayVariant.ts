import { build } from 'hdr-histogram-js'
import { setTimeout as waitMs } from 'node:timers/promises'
import { Agent } from 'undici'
import type { BenchTarget } from './benchTarget.js'
import { computeTokenCount } from './computeTokenCount.js'
import { benchConstants } from './constants.js'
import { readProcessUsage } from './readProcessUsage.js'
import type { RelayResult } from './relayResult.js'
import type { RelayVariant } from './relayVariant.js'
import { runStream } from './runStream.js'
import type { StreamResult } from './streamResult.js'
import { TokenRate } from './tokenRate.js'
import { UsageSeries } from './usageSeries.js'

type Histogram = ReturnType<typeof build>

/** Runs the streams of a variant once. `hostPid`: the entry-host process; `seconds`: length of a stream. */
export async function runRelayVariant (variant: RelayVariant, target: BenchTarget, hostPid: number, seconds: number): Promise<RelayResult> {
  const { pacedStepMs, fastStepMs, bucketMs, streamStartsPerSecond } = benchConstants
  const tokenCount = computeTokenCount(seconds, variant.pace === 'paced' ? pacedStepMs : fastStepMs)
  const dispatcher = new Agent({ keepAliveTimeout: 1000 })
  const rate = new TokenRate()
  const gaps = createHistogram()
  const onTokens = (count: number, gapMs: number | undefined): void => {
    rate.recordTokens(count, performance.now())
    if (gapMs !== undefined) recordMs(gaps, gapMs)
  }
  const usage = new UsageSeries()
  const readUsage = (): void => usage.recordReading(readProcessUsage(hostPid).processorMs, performance.now())
  const startMs = performance.now()
  readUsage()
  const usageTimer = setInterval(readUsage, bucketMs)
  const results = await Promise.all(Array.from({ length: variant.streams }, async (_, index) => {
    await waitMs(index * 1000 / streamStartsPerSecond)
    return runStream({ target, dispatcher, kind: variant.pace, tokenCount, onTokens })
  }))
  clearInterval(usageTimer)
  readUsage()
  await dispatcher.destroy()
  return buildResult(results, startMs, rate, usage, gaps)
}

function buildResult (results: readonly StreamResult[], startMs: number, rate: TokenRate, usage: UsageSeries, gaps: Histogram): RelayResult {
  const { streamStartsPerSecond, warmUpMs, minWindowMs } = benchConstants
  const endMs = performance.now()
  const openMs = startMs + results.length * 1000 / streamStartsPerSecond + warmUpMs
  const firstEndMs = Math.min(...results.map(result => result.endedAtMs))
  const [fromMs, toMs] = firstEndMs - openMs < minWindowMs ? [startMs, endMs] : [openMs, firstEndMs]
  const tokens = rate.countTokens(fromMs, toMs)
  const processorMs = usage.computeProcessorMs(fromMs, toMs)
  const firstTokens = createHistogram()
  for (const result of results) recordMs(firstTokens, result.firstTokenMs)
  return {
    tokensPerSecond: tokens / (toMs - fromMs) * 1000,
    processorUsPerToken: processorMs * 1000 / tokens,
    processorMsPerRequest: usage.computeProcessorMs(startMs, endMs) / results.length,
    tokensPerCore: tokens / processorMs * 1000,
    firstTokenP50Ms: firstTokens.getValueAtPercentile(50) / 1000,
    firstTokenP99Ms: firstTokens.getValueAtPercentile(99) / 1000,
    gapP50Ms: gaps.getValueAtPercentile(50) / 1000,
    gapP99Ms: gaps.getValueAtPercentile(99) / 1000,
    faults: results.flatMap(result => result.fault === undefined ? [] : [result.fault])
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 })
}

function recordMs (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(1, Math.round(ms * 1000)))
}

import type { BenchReport } from './benchReport.js'
import { computeSpread } from './computeSpread.js'
import { benchConstants } from './constants.js'
import type { RelayVariant } from './relayVariant.js'

const maxShownFaults = 3

/**
 * Lists incomplete answers, and the bounds that the medians miss. The bound of the relay applies to the
 * variants that offer at least as many tokens; with less to relay, a host cannot reach it. The bounds of idle
 * hosts are compared with the largest fleet that was measured, not with the extrapolation.
 */
export function listBenchFaults ({ relays, delays, idle }: BenchReport): readonly string[] {
  const minRate = benchConstants.minTokensPerCore
  const bounds = relays.filter(({ variant }) => variant.path === 'relayed' && computeOfferedTokensPerSecond(variant) >= minRate).flatMap(({ variant, results }) => {
    const rate = computeSpread(results.map(result => result.tokensPerSecond)).median
    const perCore = computeSpread(results.map(result => result.tokensPerCore)).median
    return rate >= minRate && perCore >= minRate ? [] : [`${variant.pace} ${variant.streams}: ${rate.toFixed(0)} tokens/s, ${perCore.toFixed(0)} per core, bound ${minRate}`]
  })
  const answers = relays.flatMap(({ variant, results }) => {
    const faults = results.flatMap(result => result.faults)
    return faults.length === 0 ? [] : [`${variant.path} ${variant.pace} ${variant.streams}: ${faults.length} incomplete answers, e.g. ${faults.slice(0, maxShownFaults).join('; ')}`]
  })
  const calls = delays.filter(delay => delay.faults.length > 0).map(delay => `${delay.name}: ${delay.faults.length} calls failed, e.g. ${delay.faults.slice(0, maxShownFaults).join('; ')}`)
  return [...bounds, ...answers, ...calls, ...listIdleFaults(idle)]
}

/** Computes the tokens per second that the streams of a variant generate. */
function computeOfferedTokensPerSecond ({ pace, streams }: RelayVariant): number {
  return streams * 1000 / (pace === 'paced' ? benchConstants.pacedStepMs : benchConstants.fastStepMs)
}

function listIdleFaults (samples: BenchReport['idle']): readonly string[] {
  const hosts = Math.max(...samples.map(sample => sample.hosts))
  const largest = samples.filter(sample => sample.hosts === hosts)
  const check = (name: string, values: readonly (number | undefined)[], bound: number): readonly string[] => {
    const { median } = computeSpread(values.filter(value => value !== undefined))
    return median > bound ? [`${hosts} idle hosts: ${name} ${median.toPrecision(3)}, bound ${bound}`] : []
  }
  return [
    ...check('share of a core', largest.map(sample => sample.processorShare), benchConstants.maxProcessorShare),
    ...check('resident bytes', largest.map(sample => sample.residentBytes), benchConstants.maxResidentBytes),
    ...check('bytes/s', largest.map(sample => sample.bytesPerSecond), benchConstants.maxBytesPerSecond)
  ]
}

import type { BenchReport } from './benchReport.js'
import { computeSpread } from './computeSpread.js'
import { benchConstants } from './constants.js'
import type { RelayVariant } from './relayVariant.js'

const shownFaults = 3

/**
 * Answers that were not whole, and the bounds that the medians miss. The bound of the relay holds for
 * the variants that offer as many tokens; a host with less to relay cannot show it.
 */
export function listBenchFaults ({ relays, delays }: BenchReport): readonly string[] {
  const least = benchConstants.leastTokensPerCore
  const bounds = relays.filter(({ variant }) => variant.path === 'relayed' && computeOffered(variant) >= least).flatMap(({ variant, results }) => {
    const rate = computeSpread(results.map(result => result.tokensPerSecond)).median
    const perCore = computeSpread(results.map(result => result.tokensPerCore)).median
    return rate >= least && perCore >= least ? [] : [`${variant.pace} ${variant.streams}: ${rate.toFixed(0)} tokens/s, ${perCore.toFixed(0)} per core, bound ${least}`]
  })
  const answers = relays.flatMap(({ variant, results }) => {
    const faults = results.flatMap(result => result.faults)
    return faults.length === 0 ? [] : [`${variant.path} ${variant.pace} ${variant.streams}: ${faults.length} answers not whole, e.g. ${faults.slice(0, shownFaults).join('; ')}`]
  })
  const calls = delays.filter(delay => delay.faults.length > 0).map(delay => `${delay.name}: ${delay.faults.length} calls failed, e.g. ${delay.faults.slice(0, shownFaults).join('; ')}`)
  return [...bounds, ...answers, ...calls]
}

/** Tokens a second that the streams of a variant generate. */
function computeOffered ({ pace, streams }: RelayVariant): number {
  return streams * 1000 / (pace === 'paced' ? benchConstants.pacedStepMs : benchConstants.fastStepMs)
}

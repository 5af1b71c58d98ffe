import type { BenchReport } from './benchReport.js'
import { computeSpread } from './computeSpread.js'
import { benchConstants } from './constants.js'
import { renderIdle } from './renderIdle.js'
import { renderTable } from './renderTable.js'

/** Renders the report as text; each figure is minimum / median / maximum over the rounds. */
export function renderBench (report: BenchReport): string {
  const parts = [`minimum / median / maximum of ${report.rounds} rounds, variants in turn\n`]
  if (report.relays.length > 0) parts.push(renderRelays(report), renderDelays(report))
  if (report.idle.length > 0) parts.push(renderIdle(report.idle))
  return parts.join('\n')
}

function renderRelays ({ relays, shortRequestMs }: BenchReport): string {
  const rows = relays.map(({ variant, results }) => {
    const isRelayed = variant.path === 'relayed'
    const format = (read: (result: typeof results[number]) => number, digits: number): string => formatSpread(results.map(read), digits)
    return [
      `${variant.pace} ${variant.streams} ${variant.path}`,
      format(result => result.tokensPerSecond, 0),
      isRelayed ? format(result => result.tokensPerCore, 0) : '-',
      isRelayed ? format(result => result.processorUsPerToken, 1) : '-',
      isRelayed ? format(result => result.processorMsPerRequest, 2) : '-',
      format(result => result.firstTokenP50Ms, 1),
      format(result => result.firstTokenP99Ms, 1),
      format(result => result.gapP50Ms, 1),
      format(result => result.gapP99Ms, 1)
    ]
  })
  const heading = ['streams', 'tokens/s', 'tokens/s per core', 'CPU us/token', 'CPU ms/request', 'first token p50 ms', 'p99 ms', 'gap p50 ms', 'p99 ms']
  const short = `request of one token: ${formatSpread(shortRequestMs, 3)} ms of CPU time\n`
  return `Relay; paced is one token every ${benchConstants.pacedStepMs} ms. CPU time is that of the entry host; tokens/s and CPU time per token cover the time in which all streams were open.\n${renderTable([heading, ...rows])}${short}`
}

function renderDelays ({ delays }: BenchReport): string {
  const rows = (['call', 'chain'] as const).map(name => {
    const results = delays.filter(delay => delay.name === name)
    const format = (read: (result: typeof results[number]) => number): string => formatSpread(results.map(read), 2)
    return [
      `${name}, ${results[0]?.stages ?? 0} stages`,
      format(result => result.directP50Ms),
      format(result => result.directP99Ms),
      format(result => result.relayedP50Ms),
      format(result => result.relayedP99Ms),
      format(result => result.addedPerStageP50Ms),
      format(result => result.addedPerStageP99Ms),
      format(result => result.processorMsPerRequest)
    ]
  })
  const heading = ['delay', 'direct p50 ms', 'p99 ms', 'relayed p50 ms', 'p99 ms', 'added per stage p50 ms', 'p99 ms', 'CPU ms/request']
  return `Delay of plain stages, ${benchConstants.delaySamples} requests, ${benchConstants.delayConcurrency} at a time\n${renderTable([heading, ...rows])}`
}

function formatSpread (values: readonly number[], digits: number): string {
  const { min, median, max } = computeSpread(values)
  return `${min.toFixed(digits)} / ${median.toFixed(digits)} / ${max.toFixed(digits)}`
}

import { computeRegressionLine } from './computeRegressionLine.js'
import { computeSpread } from './computeSpread.js'
import { benchConstants } from './constants.js'
import type { IdleSample } from './idleSample.js'
import { renderTable } from './renderTable.js'

type Figure = readonly [title: string, read: (sample: IdleSample) => number | undefined, digits: number, bound: number]

const figures: readonly Figure[] = [
  ['% of a core', sample => sample.processorShare * 100, 2, benchConstants.maxProcessorShare * 100],
  ['resident MB', sample => sample.residentBytes / 1e6, 1, benchConstants.maxResidentBytes / 1e6],
  ['KB/s', sample => sample.bytesPerSecond === undefined ? undefined : sample.bytesPerSecond / 1e3, 2, benchConstants.maxBytesPerSecond / 1e3]
]

/** Renders CPU time, memory and traffic of idle hosts by fleet size, with a line fitted through the medians. */
export function renderIdle (samples: readonly IdleSample[]): string {
  const sizes = [...new Set(samples.map(sample => sample.hosts))].sort((a, b) => a - b)
  const { targetHosts } = benchConstants
  const rows = figures.map(([title, read, digits, bound]) => {
    const spreads = sizes.map(hosts => computeSpread(samples.filter(sample => sample.hosts === hosts).map(read).filter(value => value !== undefined)))
    const line = computeRegressionLine(spreads.map((spread, index) => ({ x: sizes[index] ?? 0, y: spread.median })))
    return [
      title,
      ...spreads.map(({ min, median, max }) => Number.isNaN(median) ? 'not measured' : `${min.toFixed(digits)} / ${median.toFixed(digits)} / ${max.toFixed(digits)}`),
      line.slope.toFixed(4),
      (line.intercept + line.slope * targetHosts).toFixed(digits),
      bound.toFixed(digits)
    ]
  })
  const heading = ['per idle host', ...sizes.map(hosts => `${hosts} hosts`), 'slope per host', `line at ${targetHosts}`, 'bound']
  return `CPU time, memory and traffic of idle hosts over all hosts and rounds. The line is an extrapolation, not a measurement.\n${renderTable([heading, ...rows])}`
}

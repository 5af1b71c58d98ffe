import { writeFileSync } from 'node:fs'
import { loadavg } from 'node:os'
import sade from 'sade'
import type { CapacitySeries } from './capacitySeries.js'
import { computeFit } from './computeFit.js'
import { renderSeries } from './renderSeries.js'
import { runParts } from './runParts.js'

sade('benchCapacity', true)
  .describe('Measures how the memory, messages and CPU time of each mechanism grow with the size of the deployment.')
  .option('--part', `all or some of ${Object.keys(runParts).join(', ')}, separated by commas`, 'all')
  .option('--json', 'file for the points and the fitted lines')
  .action(startBench)
  .parse(process.argv)

async function startBench (flags: { part: string, json?: string }): Promise<void> {
  const names = flags.part === 'all' ? Object.keys(runParts) : flags.part.split(',')
  if (names.some(name => runParts[name] === undefined)) {
    console.error(`--part must be all or some of ${Object.keys(runParts).join(', ')}`)
    process.exit(2)
  }
  const list: CapacitySeries[] = []
  for (const name of names) {
    console.log(`${name}, load average ${loadavg().map(load => load.toFixed(1)).join(' ')}`)
    const series = await runParts[name]!()
    list.push(...series)
    console.log(renderSeries(series))
  }
  if (flags.json !== undefined) writeFileSync(flags.json, JSON.stringify(list.map(series => ({ ...series, fit: computeFit(series) })), null, 1))
  process.exit(0)
}

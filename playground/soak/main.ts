import { mkdirSync, writeFileSync } from 'node:fs'
import sade from 'sade'
import { runSoak } from './runSoak.js'
import type { SoakResult } from './soakResult.js'

/** Log lines of the hosts and the plan of a run that broke a promise. */
function writeFailureLogs (result: SoakResult, folder: string): void {
  mkdirSync(folder, { recursive: true })
  const { logs, ...rest } = result
  writeFileSync(`${folder}/seed-${result.seed}.json`, JSON.stringify(rest, null, 1) + '\n')
  for (const { host, lines } of logs) writeFileSync(`${folder}/seed-${result.seed}-${host}.log`, lines.join('\n') + '\n')
}

async function runMain (flags: Readonly<Record<string, unknown>>): Promise<void> {
  const firstSeed = Number(flags['seed'])
  let failedRuns = 0
  for (let seed = firstSeed; seed < firstSeed + Number(flags['runs']); seed++) {
    const result = await runSoak({
      program: 'dist/lycheetrack.cjs',
      seed,
      hosts: Number(flags['hosts']),
      clients: Number(flags['clients']),
      faults: Number(flags['faults']),
      faultMs: Number(flags['seconds']) * 1000
    })
    const outcome = result.violations.length === 0 ? 'ok' : 'BROKEN'
    const faults = result.plan.map(fault => fault.type).join(' ')
    console.log(`seed ${seed}: ${outcome}; ${result.served} of ${result.requests} requests served, ${result.runs} runs; ${faults}`)
    for (const violation of result.violations.slice(0, 5)) console.log(`  ${violation}`)
    if (result.violations.length === 0) continue
    failedRuns++
    writeFailureLogs(result, String(flags['out']))
  }
  console.log(`${failedRuns} of ${Number(flags['runs'])} runs broke a promise`)
  process.exitCode = failedRuns > 0 ? 1 : 0
}

sade('soak', true)
  .option('--seed', 'Seed of the first run', 1)
  .option('--runs', 'Runs, each with the next seed', 1)
  .option('--hosts', 'Host processes', 4)
  .option('--clients', 'Clients', 12)
  .option('--faults', 'Faults in a run', 10)
  .option('--seconds', 'Time in which the faults come', 12)
  .option('--out', 'Folder for the logs of runs that broke a promise', 'dist/soak')
  .action((user: Readonly<Record<string, unknown>>) => {
    runMain(user).catch((error: unknown) => {
      console.error(error)
      process.exitCode = 2
    })
  })
  .parse(process.argv)

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

async function runMain (user: Readonly<Record<string, unknown>>): Promise<void> {
  const first = Number(user['seed'])
  let broken = 0
  for (let seed = first; seed < first + Number(user['runs']); seed++) {
    const result = await runSoak({
      program: 'dist/lycheetrack.cjs',
      seed,
      hosts: Number(user['hosts']),
      clients: Number(user['clients']),
      faults: Number(user['faults']),
      faultMs: Number(user['seconds']) * 1000
    })
    const outcome = result.violations.length === 0 ? 'ok' : 'BROKEN'
    const faults = result.plan.map(fault => fault.type).join(' ')
    console.log(`seed ${seed}: ${outcome}; ${result.served} of ${result.requests} requests served, ${result.runs} runs; ${faults}`)
    for (const violation of result.violations.slice(0, 5)) console.log(`  ${violation}`)
    if (result.violations.length === 0) continue
    broken++
    writeFailureLogs(result, String(user['out']))
  }
  console.log(`${broken} of ${Number(user['runs'])} runs broke a promise`)
  process.exitCode = broken > 0 ? 1 : 0
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

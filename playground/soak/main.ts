import { mkdirSync, writeFileSync } from 'node:fs'
import sade from 'sade'
import { runSoak } from './runSoak.js'
import type { SoakResult } from './soakResult.js'

/** Writes the result and the fault plan of a failed run to a JSON file, and the log of each host beside it. */
function writeFailureLogs (result: SoakResult, folder: string): void {
  mkdirSync(folder, { recursive: true })
  const { logs, ...rest } = result
  writeFileSync(`${folder}/seed-${result.seed}.json`, JSON.stringify(rest, null, 1) + '\n')
  for (const { host, lines } of logs) writeFileSync(`${folder}/seed-${result.seed}-${host}.log`, lines.join('\n') + '\n')
}

function buildRuleGroups (violations: readonly string[]): ReadonlyMap<string, readonly string[]> {
  const groups = new Map<string, string[]>()
  for (const violation of violations) {
    const rule = violation.split(':')[0]!
    groups.set(rule, [...groups.get(rule) ?? [], violation])
  }
  return groups
}

async function runMain (flags: Readonly<Record<string, unknown>>): Promise<void> {
  const firstSeed = Number(flags['seed'])
  let failedRuns = 0
  for (let seed = firstSeed; seed < firstSeed + Number(flags['runs']); seed++) {
    const result = await runSoak({
      program: String(flags['program']),
      replacedProgram: flags['replaced-program'] === undefined ? undefined : String(flags['replaced-program']),
      seed,
      hosts: Number(flags['hosts']),
      clients: Number(flags['clients']),
      pipeliningClients: Number(flags['pipelining-clients']),
      faults: Number(flags['faults']),
      signals: Number(flags['signals']),
      changes: Number(flags['changes']),
      evacuations: Number(flags['evacuations']),
      pourings: Number(flags['pourings']),
      restores: Number(flags['restores']),
      faultMs: Number(flags['seconds']) * 1000
    })
    const outcome = result.violations.length === 0 ? 'ok' : 'FAILED'
    const faults = result.plan.map(fault => fault.type).join(' ')
    const requests = `${result.served} of ${result.requests} requests served, ${result.runs} executions at upstreams`
    const streams = result.resumed === 0 ? '' : `, ${result.wentOn} of ${result.resumed} resumed streams went on`
    const hosts = `at most ${result.peakMemoryMb} MB, hosts slowed for ${result.slowedMs} ms, the soak for ${result.heldUpMs} ms`
    console.log(`seed ${seed}: ${outcome}; ${requests}${streams}, ${hosts}; faults: ${faults}`)
    for (const [rule, violations] of buildRuleGroups(result.violations)) {
      console.log(`  ${violations.length} x ${rule}`)
      for (const violation of violations.slice(0, 3)) console.log(`    ${violation}`)
    }
    if (result.violations.length === 0) continue
    failedRuns++
    writeFailureLogs(result, String(flags['out']))
  }
  console.log(`${failedRuns} of ${Number(flags['runs'])} runs failed`)
  process.exitCode = failedRuns > 0 ? 1 : 0
}

// The end of this process ends those of the hosts.
for (const [signal, status] of [['SIGINT', 130], ['SIGTERM', 143]] as const) process.once(signal, () => process.exit(status))

sade('soak', true)
  .option('--seed', 'Seed of the first run; each further run uses the next one', 1)
  .option('--runs', 'Number of runs', 1)
  .option('--hosts', 'Number of host processes', 4)
  .option('--clients', 'Number of concurrent clients', 12)
  .option('--pipelining-clients', 'Number of clients that send several requests at once', 6)
  .option('--faults', 'Number of faults of hosts, the store, upstreams and links in a run', 10)
  .option('--signals', 'Number of series of signals and of bursts of large bodies in a run', 8)
  .option('--changes', 'Number of releases of engines, losses of all hosts, and starts beside taken ports and builds', 0)
  .option('--evacuations', 'Number of failure domains that the operator evacuates for a time', 0)
  .option('--pourings', 'Number of services whose upstreams send bytes without end for a time', 0)
  .option('--restores', 'Number of returns of the store from an older copy, alone and beside lost hosts', 0)
  .option('--program', 'Bundle of the product that the hosts run', 'dist/lycheetrack.cjs')
  .option('--replaced-program', 'Bundle of another version, which the hosts run until they are replaced in turn')
  .option('--seconds', 'Length of the part of a run in which faults are injected', 12)
  .option('--out', 'Folder for the results and host logs of failed runs', 'dist/soak')
  .action((user: Readonly<Record<string, unknown>>) => {
    runMain(user).catch((error: unknown) => {
      console.error(error)
      process.exitCode = 2
    })
  })
  .parse(process.argv)

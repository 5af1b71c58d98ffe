import { readFileSync } from 'node:fs'
import sade from 'sade'
import { createStandIn } from './createStandIn.js'

// Command line program that runs stand-ins (simulated servers) for the external systems of lycheetrack: upstreams
// and platform services. The demo, the benchmarks and manual tests use it.
type Options = Parameters<typeof createStandIn>[0]

async function startAll (optionsList: readonly Options[]): Promise<void> {
  const standIns = optionsList.map(createStandIn)
  const stopAll = (): void => { Promise.all(standIns.map(standIn => standIn.stop())).then(() => process.exit(0), () => process.exit(1)) }
  process.once('SIGTERM', stopAll)
  process.once('SIGINT', stopAll)
  for (const [index, standIn] of standIns.entries()) {
    const port = await standIn.start(Number(optionsList[index]?.port ?? 0), optionsList[index]?.address)
    console.log(optionsList.length === 1 ? `listening ${port}` : `listening ${port} ${standIn.id}`)
  }
}

function buildOptions (type: string, flags: Readonly<Record<string, unknown>>): Options {
  const options = Object.entries(flags)
    .filter(([name]) => name !== '_')
    .map(([name, value]) => [name.replace(/-(\w)/g, (_match, letter: string) => letter.toUpperCase()), value])
  return { type, ...Object.fromEntries(options) } as Options
}

function reportFailure (error: unknown): void {
  console.error(String(error))
  process.exit(1)
}

const program = sade('standIns')
program
  .command('many <file>', 'run several stand-ins in one process; the file is a JSON list of their options')
  .action((file: string) => { startAll(JSON.parse(readFileSync(file, 'utf8'))).catch(reportFailure) })
for (const type of ['key-value-service', 'host-list', 'model-engine', 'stage-pool', 'plain-service', 'weight-store']) {
  program
    .command(type, `run a ${type}; further options: those of playground/standIns/standInOptions.ts in kebab case`)
    .option('--port', 'port to listen on; 0 picks a free one', 0)
    .option('--id', 'id of the stand-in')
    .option('--seed', 'seed of the random numbers for service times and injected faults', 1)
    .action((flags: Readonly<Record<string, unknown>>) => {
      try {
        startAll([buildOptions(type, flags)]).catch(reportFailure)
      } catch (error) {
        // Errors that buildOptions throws; those of startAll reject its promise.
        reportFailure(error)
      }
    })
}
program.parse(process.argv)

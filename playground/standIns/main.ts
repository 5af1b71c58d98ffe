import { readFileSync } from 'node:fs'
import sade from 'sade'
import { createStandIn } from './createStandIn.js'

// Stand-ins for the outside systems, for the demo, the benchmarks and manual trials.
type Options = Parameters<typeof createStandIn>[0]

async function startAll (list: readonly Options[]): Promise<void> {
  const standIns = list.map(createStandIn)
  const stopAll = (): void => { Promise.all(standIns.map(standIn => standIn.stop())).then(() => process.exit(0), () => process.exit(1)) }
  process.once('SIGTERM', stopAll)
  process.once('SIGINT', stopAll)
  for (const [index, standIn] of standIns.entries()) {
    const port = await standIn.start(Number(list[index]?.port ?? 0), list[index]?.address)
    console.log(list.length === 1 ? `listening ${port}` : `listening ${port} ${standIn.id}`)
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
  .command('many <file>', 'run the stand-ins of a JSON list of options in one process')
  .action((file: string) => { startAll(JSON.parse(readFileSync(file, 'utf8'))).catch(reportFailure) })
for (const type of ['key-value-service', 'host-list', 'model-engine', 'stage-pool', 'plain-service', 'weight-store']) {
  program
    .command(type, `run a ${type}; other options are those of playground/standIns/standInOptions.ts in kebab case`)
    .option('--port', 'port; 0 takes a free one', 0)
    .option('--id', 'id of the stand-in')
    .option('--seed', 'seed of the faults that hit a share of calls', 1)
    .action((flags: Readonly<Record<string, unknown>>) => {
      try {
        startAll([buildOptions(type, flags)]).catch(reportFailure)
      } catch (error) {
        reportFailure(error)
      }
    })
}
program.parse(process.argv)

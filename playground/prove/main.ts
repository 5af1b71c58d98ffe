import { dirname, resolve } from 'node:path'
import sade from 'sade'
import { proveConstants } from './constants.js'
import type { Proof } from './proof.js'
import { buildRandomProof } from './proofs/buildRandomProof.js'
import { listProofs } from './proofs/listProofs.js'
import { shortProof } from './proofs/shortProof.js'
import { ProofRunner } from './run/proofRunner.js'

interface Flags {
  readonly list?: boolean
  readonly only?: string
  readonly without?: string
  readonly scenario?: string
  readonly random?: boolean
  readonly short?: boolean
  readonly seconds: number
  readonly 'at-once': number
  readonly seed: number
}

sade('prove', true)
  .describe('Runs deployments as processes, injects faults and checks the records of callers, upstreams and operators.')
  .option('--list', 'lists the proofs and the mechanisms that --without disables')
  .option('--only', 'runs one proof, by its name')
  .option('--scenario', 'runs the scenarios of the proof whose name contains this text')
  .option('--seed', 'seed of the load and the faults', 1)
  .option('--without', 'disables a mechanism in the test setup; the proof must then fail')
  .option('--random', 'draws faults at random from the seed instead')
  .option('--short', 'runs one kill and one outage in a small deployment')
  .option('--seconds', 'length of a random run in seconds', 60)
  .option('--at-once', 'number of concurrent deployments', proveConstants.concurrentDeployments)
  .action(startProofs)
  .parse(process.argv)

async function startProofs (flags: Flags): Promise<void> {
  const proofs = chooseProofs(flags)
  const seed = Number(flags.seed)
  if (flags.list) return renderList()
  const areNumbers = [seed, Number(flags['at-once'])].every(Number.isInteger) && Number(flags.seconds) > 0
  if (proofs.length === 0 || !areNumbers) reportUsage(`no proof matches --only ${flags.only} and --scenario ${flags.scenario}, or --seed, --seconds or --at-once is not a valid number`)
  if (flags.without !== undefined && !proofs.some(proof => flags.without! in proof.mechanisms)) reportUsage(`unknown mechanism in --without: ${flags.without}`)
  const runner = new ProofRunner({ distDirectory: dirname(dirname(resolve(process.argv[1] as string))), seed, concurrentDeployments: Number(flags['at-once']), disabledMechanisms: new Set(flags.without === undefined ? [] : [flags.without]) })
  stopOnSignals(runner)
  const startMs = performance.now()
  const failed = await runner.runProofs(proofs)
  console.log(`${((performance.now() - startMs) / 1000).toFixed(0)} s`)
  console.log(`${proofs.length - failed} passed, ${failed} failed`)
  process.exit(failed === 0 ? 0 : 1)
}

function chooseProofs (flags: Flags): readonly Proof[] {
  if (flags.random) return [buildRandomProof(Number(flags.seconds))]
  if (flags.short) return [shortProof]
  return listProofs()
    .filter(proof => flags.only === undefined || proof.name === flags.only)
    .map(proof => ({ ...proof, scenarios: proof.scenarios.filter(({ name }) => name.includes(flags.scenario ?? '')) }))
    .filter(proof => proof.scenarios.length > 0)
}

function stopOnSignals (runner: ProofRunner): void {
  let isStopping = false
  const stopEarly = async (reason: string, code: number): Promise<void> => {
    if (isStopping) return
    isStopping = true
    console.error(reason)
    await runner.stop()
    process.exit(code)
  }
  process.on('SIGINT', () => { stopEarly('interrupted', 130) })
  process.on('SIGTERM', () => { stopEarly('terminated', 143) })
  setTimeout(() => { stopEarly(`the proofs did not end within ${proveConstants.maxRunMs} ms`, 1) }, proveConstants.maxRunMs).unref()
}

function renderList (): void {
  for (const { name, summary, mechanisms } of listProofs()) {
    console.log(`${name}: ${summary}`)
    for (const [mechanism, effect] of Object.entries(mechanisms)) console.log(`  --only ${name} --without ${mechanism}: ${effect}`)
  }
}

function reportUsage (message: string): never {
  console.error(message)
  process.exit(2)
}

import { existsSync } from 'node:fs'
import { join } from 'node:path'
import { Deployment } from './deployment.mjs'

/** A case ends by itself before the limit of 120 s. */
const limitMs = 115_000
const program = new URL('../../target/lycheetrack.cjs', import.meta.url).pathname

/**
 * Runs a case and ends the process: with 1 if its rule was broken, 0 if it held, 2 if the case could not run. `run` gets the
 * deployment and whether the disruption is to come, and resolves to the number of breaks and how many the rule allows.
 */
export async function runCase (folder, label, run) {
  const deployment = new Deployment(label)
  const hasTrouble = process.env.TROUBLE !== '0'
  let status = 2
  const timer = setTimeout(() => {
    deployment.record('the case took too long')
    finish()
  }, limitMs)
  const finish = async () => {
    clearTimeout(timer)
    await deployment.stop().catch(() => {})
    deployment.record(`exit status ${status}`)
    deployment.writeRecord(join(folder, 'record.txt'))
    process.exit(status)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { finish() })
  try {
    if (!existsSync(program)) throw new Error('target/lycheetrack.cjs is missing: run the build of the deploy file')
    deployment.record(hasTrouble ? 'with the disruption' : 'without the disruption')
    const { breaks, allowed, summary } = await run(deployment, hasTrouble)
    status = breaks > allowed ? 1 : 0
    const line = `${summary}: ${status === 1 ? 'the rule is broken' : 'the rule holds'}`
    deployment.record(line)
    console.log(line)
  } catch (error) {
    deployment.record(`the case could not run: ${error.stack}`)
    console.error(error.message)
  }
  await finish()
}

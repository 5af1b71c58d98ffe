// Runs a case: its folder for settings, its record, its exit status and the end of all that it started.
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** A case ends before the 120 s that it has. */
const timeoutMs = 110_000

/**
 * Runs `play`, which gets the folder for settings, `record` for lines of the record and `own` for what is to be stopped.
 * It resolves to the breaks of the rule that were seen. Exits with 1 when there are some, 0 without, 2 when the case
 * could not run.
 */
export async function runCase (recordPath, play) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const lines = []
  const owned = []
  const startMs = performance.now()
  const record = text => { lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} ${text}`) }
  const hasTrouble = process.env.TROUBLE !== '0'
  let status = 2
  try {
    record(`disruption: ${hasTrouble ? 'yes' : 'no'}`)
    const timeout = new Promise((_resolve, reject) => {
      setTimeout(() => { reject(new Error('the case did not end in time')) }, timeoutMs).unref()
    })
    const breaks = await Promise.race([timeout, play({
      folder,
      record,
      hasTrouble,
      own: part => {
        owned.push(part)
        return part
      }
    })])
    for (const line of breaks) record(`BROKEN ${line}`)
    status = breaks.length > 0 ? 1 : 0
    record(status === 1 ? `the rule was broken ${breaks.length} times` : 'the rule held')
  } catch (error) {
    record(`could not run: ${error.stack}`)
  }
  for (const part of owned.reverse()) await part.stop()
  rmSync(folder, { recursive: true, force: true })
  writeFileSync(recordPath, lines.join('\n') + '\n')
  console.log(lines.slice(-6).join('\n'))
  process.exit(status)
}

export async function wait (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}

// Replaces the bundled product in a folder as builds do, with programs that differ: node writeBuilds.mjs FOLDER MS
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as waitMs } from 'node:timers/promises'
import { FileSet } from '../../scripts/build/fileSet.mjs'

const entryName = 'lycheetrack.cjs'
const buildIntervalMs = 20

const [folder, lengthMs] = process.argv.slice(2)
const files = new FileSet(folder)
const entry = readFileSync(join(folder, entryName), 'utf8')
const [firstName] = /program-[0-9a-f]{16}\.cjs/.exec(entry)
const program = readFileSync(join(folder, firstName), 'utf8')

for (let build = 1; performance.now() < Number(lengthMs); build++) {
  const content = Buffer.from(`${program}// build ${process.pid}.${build}\n`)
  const name = files.buildProgramName(content)
  files.writeProgram(name, content, entryName, Buffer.from(entry.replaceAll(firstName, name)))
  await waitMs(buildIntervalMs)
}

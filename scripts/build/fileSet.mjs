import { createHash, randomUUID } from 'node:crypto'
import { closeSync, existsSync, fsyncSync, mkdirSync, openSync, readdirSync, readFileSync, renameSync, rmSync, statSync, utimesSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { buildConstants } from './buildConstants.mjs'

const programPattern = /program(-[0-9a-f]{16})?\.cjs/
const unfinishedSuffix = '.unfinished'

/** Files in a folder that processes may be reading: under its name, each is whole at any time. */
export class FileSet {
  constructor (folder) {
    this.folder = folder
  }

  /** Name of a program file: it changes with the content, so that an entry file only finds the program of its build. */
  buildProgramName (content) {
    return `program-${createHash('sha256').update(content).digest('hex').slice(0, 16)}.cjs`
  }

  write (name, content) {
    const path = join(this.folder, name)
    if (existsSync(path) && readFileSync(path).equals(content)) return
    mkdirSync(dirname(path), { recursive: true })
    const unfinished = `${path}.${randomUUID()}${unfinishedSuffix}`
    try {
      const file = openSync(unfinished, 'wx')
      try {
        writeFileSync(file, content)
        // Without it, the name may stand for an empty file after a power failure.
        fsyncSync(file)
      } finally {
        closeSync(file)
      }
      renameSync(unfinished, path)
    } catch (error) {
      rmSync(unfinished, { force: true })
      throw error
    }
  }

  /** Writes a program and then the entry file that loads it. The program that the entry file loaded before stays for a while. */
  writeProgram (programName, program, entryName, entry) {
    this.write(programName, program)
    const superseded = this.#readProgramName(entryName)
    for (const name of [programName, superseded]) this.#setNewTime(name)
    this.write(entryName, entry)
    this.#removeOld(programName)
  }

  #readProgramName (entryName) {
    const path = join(this.folder, entryName)
    return existsSync(path) ? programPattern.exec(readFileSync(path, 'utf8'))?.[0] : undefined
  }

  #setNewTime (name) {
    const path = join(this.folder, name ?? '')
    const now = new Date()
    if (name !== undefined && existsSync(path)) utimesSync(path, now, now)
  }

  #removeOld (currentName) {
    for (const name of readdirSync(this.folder)) {
      const isProgram = programPattern.exec(name)?.[0] === name && name !== currentName
      if (!isProgram && !name.endsWith(unfinishedSuffix)) continue
      const path = join(this.folder, name)
      const time = statSync(path, { throwIfNoEntry: false })?.mtimeMs ?? Infinity
      if (Date.now() - time > buildConstants.supersededFileRetentionMs) rmSync(path, { force: true })
    }
  }
}

import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { FileSet } from '../../scripts/build/fileSet.mjs'

const entryName = 'lycheetrack.cjs'
const programNamePattern = /program-[0-9a-f]{16}\.cjs/

/** Copies of the bundled product in a folder, which later builds replace while processes start from it. */
export class SoakBuilds {
  readonly program: string
  private readonly files: FileSet
  private readonly entry: string
  private readonly programName: string
  private readonly content: string
  private buildCount = 0

  /** `source`: entry file of the bundled product. */
  constructor (source: string, folder: string) {
    this.entry = readFileSync(source, 'utf8')
    this.programName = programNamePattern.exec(this.entry)![0]
    this.content = readFileSync(join(dirname(source), this.programName), 'utf8')
    this.files = new FileSet(folder)
    this.program = join(folder, entryName)
    this.writeProgram()
  }

  /** Writes the files as a build does, with a program that differs from the last one. */
  writeProgram (): void {
    const content = Buffer.from(`${this.content}\n// build ${++this.buildCount}\n`)
    const name = this.files.buildProgramName(content)
    this.files.writeProgram(name, content, entryName, Buffer.from(this.entry.replaceAll(this.programName, name)))
  }
}

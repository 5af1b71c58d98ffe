import { execFile } from 'node:child_process'
import { copyFileSync, mkdirSync, readFileSync } from 'node:fs'
import { basename, dirname, join } from 'node:path'
import { promisify } from 'node:util'

const programNamePattern = /program-[0-9a-f]{16}\.cjs/

/** A copy of the bundled product, which builds replace while hosts start from it. */
export class SoakBuilds {
  readonly program: string

  /** `source`: entry file of the bundled product. */
  constructor (source: string, private readonly folder: string) {
    const [programName = ''] = programNamePattern.exec(readFileSync(source, 'utf8')) ?? []
    mkdirSync(folder)
    copyFileSync(join(dirname(source), programName), join(folder, programName))
    this.program = join(folder, basename(source))
    copyFileSync(source, this.program)
  }

  /** Writes builds for a time, in a process of their own: they would hold up the upstreams and clients of the soak. */
  async run (lengthMs: number): Promise<void> {
    await promisify(execFile)(process.execPath, ['playground/soak/writeBuilds.mjs', this.folder, String(lengthMs)])
  }
}

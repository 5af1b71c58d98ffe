import { writeFileSync } from 'node:fs'
import { ManagedProcess } from './managedProcess.js'

interface StandInEntry {
  readonly type: string
  readonly id: string
}

/** The process of a group of stand-ins. A restart keeps their ports. */
export class StandInProcess {
  readonly process: ManagedProcess
  private ports = new Map<string, number>()

  /** `program`: path of standIns.cjs; `file`: path of the JSON list of stand-ins that `start` writes for it. */
  constructor (readonly id: string, program: string, private readonly file: string, private readonly entries: readonly StandInEntry[]) {
    this.process = new ManagedProcess({ id, args: [program, 'many', file] })
  }

  async start (): Promise<void> {
    writeFileSync(this.file, JSON.stringify(this.entries.map(entry => ({ ...entry, port: this.ports.get(entry.id) ?? 0 }))))
    this.process.start()
    const lines = await this.process.waitLines('listening ', this.entries.length)
    this.ports = new Map(this.entries.map((entry, index) => [entry.id, Number(lines[index]?.split(' ')[1])]))
  }

  /** Addresses (`ip:port`) by stand-in id. */
  listAddresses (): ReadonlyMap<string, string> {
    return new Map([...this.ports].map(([id, port]) => [id, `127.0.0.1:${port}`]))
  }
}

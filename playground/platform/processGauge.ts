import { readdirSync, readFileSync, writeFileSync } from 'node:fs'

const sampleIntervalMs = 20

/** Peaks of the memory and the open descriptors of a process since the start of the gauge. */
export class ProcessGauge {
  /** Most open descriptors that a sample has found. */
  peakDescriptors = 0
  private readonly timer: NodeJS.Timeout

  constructor (private readonly pid: number) {
    // Resets the peak of the resident memory.
    writeFileSync(`/proc/${pid}/clear_refs`, '5')
    this.timer = setInterval(() => { this.updateDescriptors() }, sampleIntervalMs)
  }

  /** Infinity when the process has ended. */
  readPeakMb (): number {
    const text = readIfRunning(() => readFileSync(`/proc/${this.pid}/status`, 'utf8')) ?? ''
    const [, kilobytes = 'Infinity'] = /VmHWM:\s+(\d+)/.exec(text) ?? []
    return Math.round(Number(kilobytes) / 1024)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private updateDescriptors (): void {
    const count = readIfRunning(() => readdirSync(`/proc/${this.pid}/fd`).length) ?? 0
    this.peakDescriptors = Math.max(this.peakDescriptors, count)
  }
}

function readIfRunning<Value> (read: () => Value): Value | undefined {
  try {
    return read()
  } catch {
    return undefined
  }
}

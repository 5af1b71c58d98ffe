import type { ProcessRun } from '../processes/processRun.js'

/** One run of the process of a soak test's host. */
export interface SoakHostRun extends Pick<ProcessRun, 'startedAtMs' | 'signals' | 'end'> {
  /** IP address of the host. */
  readonly host: string
  /** Memory of the machine, and the largest resident memory that was sampled. */
  readonly memoryMb: number
  readonly peakMemoryMb: number
  /** Times in which the process waited long for a processor. */
  readonly slowed: ReadonlyArray<{ readonly fromMs: number, readonly toMs: number }>
  /** Lines of its log that report errors. */
  readonly errors: readonly string[]
  /** When the process last said that it is ready. */
  readonly lastReadyAtMs?: number
}

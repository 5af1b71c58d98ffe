import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { setTimeout as waitMs } from 'node:timers/promises'
import { processConstants } from './constants.js'
import { ProcessError } from './processError.js'
import type { ProcessRun } from './processRun.js'

interface ProcessOptions {
  readonly id: string
  /** Arguments for Node.js: the program and its own arguments. */
  readonly args: readonly string[]
  /** Added to the environment of this process. */
  readonly environment?: Readonly<Record<string, string>>
  /** Variables that the process inherits, if they are set; all when absent. */
  readonly inheritedVariables?: readonly string[]
  /** Words of a command that runs Node.js with its arguments, which follow them. */
  readonly launcher?: readonly string[]
  /** Called at the end of each run. */
  readonly onEnd?: (run: ProcessRun) => void
}

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] }

interface OpenRun extends Mutable<ProcessRun> {
  readonly signals: Array<ProcessRun['signals'][number]>
  readonly lines: string[]
  readonly errorLines: string[]
}

const runningChildren = new Set<ChildProcess>()
// Kills the remaining children when this process exits.
process.on('exit', () => { for (const child of runningChildren) child.kill('SIGKILL') })

/** A Node.js child process that can be restarted, killed, suspended and resumed. */
export class ManagedProcess {
  readonly id: string
  private child: ChildProcess | undefined
  private readonly openRuns: OpenRun[] = []
  private outputLines: string[] = []
  private errorLines: string[] = []
  private exitCode: Promise<number | null> = Promise.resolve(null)
  private isFrozen = false

  constructor (private readonly options: ProcessOptions) {
    this.id = options.id
  }

  get pid (): number | undefined {
    return this.child?.pid
  }

  /** All runs, the oldest first. */
  get runs (): readonly ProcessRun[] {
    return this.openRuns
  }

  get isRunning (): boolean {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  /** Whether the last run was told to end. */
  get isStopping (): boolean {
    return this.openRuns.at(-1)?.signals.some(({ signal }) => signal === 'SIGTERM' || signal === 'SIGKILL') ?? false
  }

  start (): void {
    if (this.isRunning) throw new ProcessError(`${this.id} is already running`)
    const { args, launcher = [], environment } = this.options
    const words = [...this.listEnvironmentWords(), ...launcher, process.execPath, ...args]
    const child = spawn('env', words, { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...environment } })
    this.child = child
    const run: OpenRun = { pid: child.pid, startedAtMs: performance.now(), signals: [], lines: [], errorLines: [] }
    this.openRuns.push(run)
    this.outputLines = run.lines
    this.isFrozen = false
    runningChildren.add(child)
    createInterface({ input: child.stdout }).on('line', line => run.lines.push(line))
    createInterface({ input: child.stderr }).on('line', line => {
      run.errorLines.push(line)
      this.errorLines = [...this.errorLines, line].slice(-processConstants.maxErrorLines)
    })
    child.once('exit', (code, signal) => {
      run.end = { code, signal, atMs: performance.now() }
      this.options.onEnd?.(run)
    })
    this.exitCode = new Promise(resolve => {
      child.once('error', () => resolve(null))
      child.once('close', code => { runningChildren.delete(child); resolve(code) })
    })
  }

  /** Resolves with the first `count` lines of standard output that begin with `prefix`. */
  async waitLines (prefix: string, count: number): Promise<readonly string[]> {
    const untilMs = performance.now() + processConstants.startTimeoutMs
    while (performance.now() < untilMs && this.isRunning) {
      const lines = this.outputLines.filter(line => line.startsWith(prefix))
      if (lines.length >= count) return lines.slice(0, count)
      await waitMs(10)
    }
    throw new ProcessError(`${this.id} did not start (no ${count} lines with "${prefix}" on standard output): ${this.errorLines.join('\n')}`)
  }

  /** Asks the process to read its settings again. */
  reload (): void {
    this.sendSignal('SIGHUP')
  }

  sendSignal (signal: NodeJS.Signals): void {
    if (!this.isRunning) return
    this.openRuns.at(-1)!.signals.push({ signal, atMs: performance.now() })
    this.child?.kill(signal)
  }

  /** Resolves with the exit code when the process has ended, null when a signal ended it. */
  async waitEnd (): Promise<number | null> {
    return await this.exitCode
  }

  /** Kills the process with SIGKILL, as a crash would end it. */
  async kill (): Promise<void> {
    this.sendSignal('SIGKILL')
    await this.exitCode
  }

  /** Suspends the process with SIGSTOP; its connections stay open. */
  freeze (): void {
    this.isFrozen = true
    this.sendSignal('SIGSTOP')
  }

  resume (): void {
    this.isFrozen = false
    this.sendSignal('SIGCONT')
  }

  /** Stops the process with SIGTERM, or with SIGKILL after `timeoutMs`; resolves with its exit code, null after SIGKILL. */
  async stop (timeoutMs: number = processConstants.stopTimeoutMs): Promise<number | null> {
    if (!this.isRunning) return this.exitCode
    if (this.isFrozen) this.resume()
    this.sendSignal('SIGTERM')
    const timer = setTimeout(() => { this.sendSignal('SIGKILL') }, timeoutMs)
    const code = await this.exitCode
    clearTimeout(timer)
    return code
  }

  /** Lines of standard output since the last start. */
  listOutputLines (): readonly string[] {
    return this.outputLines
  }

  /** The last lines of standard error. */
  listErrorLines (): readonly string[] {
    return this.errorLines
  }

  /** The test runner adds variables to every process that it spawns, so `env` removes them. */
  private listEnvironmentWords (): readonly string[] {
    const { inheritedVariables, environment } = this.options
    if (inheritedVariables === undefined) return []
    const variables = { ...Object.fromEntries(inheritedVariables.map(name => [name, process.env[name]])), ...environment }
    return ['-i', ...Object.entries(variables).flatMap(([name, value]) => value === undefined ? [] : [`${name}=${value}`])]
  }
}

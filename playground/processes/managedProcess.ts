import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { setTimeout as waitMs } from 'node:timers/promises'
import { processConstants } from './constants.js'
import { ProcessError } from './processError.js'

interface ProcessOptions {
  readonly id: string
  /** Program and arguments for Node.js. */
  readonly args: readonly string[]
  /** Added to the environment of this process. */
  readonly environment?: Readonly<Record<string, string>>
}

const runningChildren = new Set<ChildProcess>()
// Whatever ends this process, no child outlives it.
process.on('exit', () => { for (const child of runningChildren) child.kill('SIGKILL') })

/** A child process that can be started again, killed, frozen and resumed. */
export class ManagedProcess {
  readonly id: string
  private child: ChildProcess | undefined
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

  get isRunning (): boolean {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  start (): void {
    if (this.isRunning) throw new ProcessError(`${this.id} is running already`)
    const child = spawn(process.execPath, [...this.options.args], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...this.options.environment } })
    this.child = child
    this.outputLines = []
    this.isFrozen = false
    runningChildren.add(child)
    createInterface({ input: child.stdout }).on('line', line => this.outputLines.push(line))
    createInterface({ input: child.stderr }).on('line', line => { this.errorLines = [...this.errorLines, line].slice(-processConstants.maxErrorLines) })
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
    throw new ProcessError(`${this.id} did not start: ${this.errorLines.join('\n')}`)
  }

  /** Asks the process to read its settings again. */
  reload (): void {
    this.child?.kill('SIGHUP')
  }

  /** Ends the process at once, as a crash does. */
  async kill (): Promise<void> {
    this.child?.kill('SIGKILL')
    await this.exitCode
  }

  /** Suspends the process; its connections stay open. */
  freeze (): void {
    this.isFrozen = true
    this.child?.kill('SIGSTOP')
  }

  resume (): void {
    this.isFrozen = false
    this.child?.kill('SIGCONT')
  }

  /** Ends the process with SIGTERM, after `timeoutMs` with SIGKILL; resolves with its exit code. */
  async stop (timeoutMs: number = processConstants.stopTimeoutMs): Promise<number | null> {
    if (!this.isRunning) return this.exitCode
    if (this.isFrozen) this.resume()
    this.child?.kill('SIGTERM')
    const timer = setTimeout(() => this.child?.kill('SIGKILL'), timeoutMs)
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
}

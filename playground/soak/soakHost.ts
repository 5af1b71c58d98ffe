import { readFileSync, renameSync, writeFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { setTimeout as waitMs } from 'node:timers/promises'
import { FaultProxy } from './faultProxy.js'
import { ManagedProcess } from '../processes/managedProcess.js'
import { processConstants } from '../processes/constants.js'
import { ProcessError } from '../processes/processError.js'
import { soakConstants } from './constants.js'
import type { ProcessRun } from '../processes/processRun.js'
import type { SoakHostRun } from './soakHostRun.js'

const readinessTimeoutMs = 500
/** Options of Node.js in the deploy file. */
const deployedNodeOptions = ['--max-old-space-size=160', '--expose-gc']
const runtimeMarkPath = resolve('playground/soak/runtimeMark.cjs')
const runtimeMarkPattern = /^runtime runs programs at ([\d.]+)$/

interface SoakHostOptions {
  readonly index: number
  /** Third byte of the loopback addresses; concurrent runs use different ones. */
  readonly network: number
  readonly folder: string
  readonly program: string
  readonly storeAddress: string
  /** Memory of the machine, in MB. */
  readonly memoryMb?: number
  /** File descriptors that the settings state. @default 6150 */
  readonly fileDescriptors?: number
  /** Options of Node.js beyond those of the deploy file. */
  readonly nodeOptions?: readonly string[]
  /** Time after which a process that ended by itself is started again; absent: it is not. */
  readonly restartDelayMs?: number
}

interface Sample extends Pick<SoakHostRun, 'peakMemoryMb' | 'slowed'> {
  readonly sampledAtMs: number
  /** Time that the process has waited for a processor. */
  readonly waitedMs: number
  readonly lastReadyAtMs?: number
}

/**
 * One host of a soak test: a process of the product, which reaches the store through a fault-injecting proxy. While a
 * process drains, a second one can be started at the same address.
 */
export class SoakHost {
  readonly id: string
  readonly storeProxy: FaultProxy
  /** The process that was created last. */
  process: ManagedProcess
  readonly directoryAddress: string
  readonly ipAddress: string
  private readonly settingsPath: string
  private readonly memoryMb: number
  private program: string
  private readonly processes: ManagedProcess[] = []
  private readonly samples = new Map<ProcessRun, Sample>()
  private sampleTimer: NodeJS.Timeout | undefined
  private isStopped = false
  private heartbeatMs = 1200

  constructor (private readonly options: SoakHostOptions) {
    const { index, network, folder, program, storeAddress, memoryMb = 400 } = options
    this.memoryMb = memoryMb
    this.program = program
    this.id = `host-${index}`
    this.ipAddress = `127.1.${network}.${index + 1}`
    this.directoryAddress = `${this.ipAddress}:7003`
    this.settingsPath = join(folder, `${this.id}.toml`)
    this.storeProxy = new FaultProxy(storeAddress)
    this.process = this.createProcess()
  }

  /** Address (`ip:port`) for clients. */
  get clientAddress (): string {
    return `${this.ipAddress}:7001`
  }

  async start (): Promise<this> {
    await this.storeProxy.start()
    this.writeSettings()
    this.process.start()
    this.sampleTimer = setInterval(() => { void this.recordSample() }, soakConstants.sampleIntervalMs).unref()
    return this
  }

  /**
   * Starts a process unless one is running; with `isOverlapping`, also while one process drains. Returns whether it was
   * started.
   */
  startProcess (isOverlapping = false): boolean {
    const running = this.processes.filter(process => process.isRunning)
    const isOccupied = running.some(process => !process.isStopping) || running.length > (isOverlapping ? 1 : 0)
    if (this.isStopped || isOccupied) return false
    if (running.length > 0) this.process = this.createProcess()
    this.process.start()
    return true
  }

  /** Stops a process with SIGTERM; one that has just been started gets it once its runtime can run the program. */
  async stopProcess (process = this.process): Promise<void> {
    await this.waitRuntime(process)
    await process.stop(soakConstants.gracePeriodMs)
  }

  /** Stops the process with SIGTERM and starts one of another version of the product at the same addresses. */
  async updateProgram (program: string): Promise<void> {
    this.program = program
    // A fault may start the process that it has stopped at the same time.
    do await this.stopProcess()
    while (this.process.isRunning)
    this.process = this.createProcess()
    this.startProcess()
  }

  /** Writes changed settings and sends SIGHUP, with the same delay. */
  async reloadProcess (process = this.process): Promise<void> {
    this.writeSettings()
    await this.waitRuntime(process)
    process.reload()
  }

  /** Resolves when the runtime of a process runs the program: before that, no program can handle a signal. */
  async waitRuntime (process = this.process): Promise<void> {
    while (process.isRunning && !isSignalDue(process)) await waitMs(2)
  }

  /** All runs of the host's processes, the oldest first. */
  listRuns (): readonly SoakHostRun[] {
    return this.processes.flatMap(process => process.runs).map(run => ({
      host: this.ipAddress,
      memoryMb: this.memoryMb,
      startedAtMs: run.startedAtMs,
      signals: run.signals,
      end: run.end,
      peakMemoryMb: this.samples.get(run)?.peakMemoryMb ?? 0,
      slowed: this.samples.get(run)?.slowed ?? [],
      errors: run.lines.filter(line => line.includes('"level":"error"')),
      lastReadyAtMs: this.samples.get(run)?.lastReadyAtMs
    }))
  }

  /** Log of all runs, each after a line with its start and end. */
  listLogLines (): readonly string[] {
    const runs = this.processes.flatMap(process => process.runs)
    return runs.flatMap(({ startedAtMs, signals, end, lines, errorLines }) => {
      return [`run ${JSON.stringify({ startedAtMs, signals, end })}`, ...lines, ...errorLines]
    })
  }

  /** Writes the settings file with a new heartbeat interval, so that each reload has a change to apply. */
  writeSettings (): void {
    this.heartbeatMs++
    const path = `${this.settingsPath}.next`
    writeFileSync(path, `
nodeName = "${this.id}"
ipAddress = "${this.ipAddress}"
zone = "zone-1"
region = "region-1"
internalPortRange = [7300, 7310]
heartbeatIntervalMs = ${this.heartbeatMs}
[listenAddresses]
front = "${this.ipAddress}:7001"
ready = "${this.ipAddress}:7002"
directory = "${this.directoryAddress}"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = ${this.memoryMb}
fileDescriptors = ${this.options.fileDescriptors ?? 6150}
[bounds]
drainMs = 2000
gracePeriodS = ${soakConstants.gracePeriodMs / 1000}
configurationMs = 2000
ttl_max_s = 5
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 56
[platform]
address = "${this.storeProxy.address}"
`)
    renameSync(path, this.settingsPath)
  }

  /** Resolves when the host is ready. */
  async waitReady (): Promise<void> {
    const timeoutMs = processConstants.startTimeoutMs
    const untilMs = performance.now() + timeoutMs
    while (!await this.isReady()) {
      if (performance.now() > untilMs) {
        const lastErrors = this.process.listErrorLines().slice(-3).join('\n')
        throw new ProcessError(`${this.id} was not ready after ${timeoutMs} ms: ${lastErrors}`)
      }
      await waitMs(processConstants.pollIntervalMs)
    }
  }

  async stop (): Promise<void> {
    this.isStopped = true
    await Promise.all(this.processes.map(async process => await process.stop(soakConstants.gracePeriodMs)))
    clearInterval(this.sampleTimer)
    this.storeProxy.stop()
  }

  private createProcess (): ManagedProcess {
    const { restartDelayMs, nodeOptions = [] } = this.options
    const process = new ManagedProcess({
      id: this.id,
      args: [...deployedNodeOptions, '--require', runtimeMarkPath, ...nodeOptions, this.program, 'gateway'],
      environment: { LYCHEETRACK_SETTINGS: this.settingsPath },
      inheritedVariables: processConstants.platformVariables,
      onEnd: () => {
        if (restartDelayMs === undefined || process.isStopping) return
        setTimeout(() => { this.startProcess() }, restartDelayMs)
      }
    })
    this.processes.push(process)
    return process
  }

  private async recordSample (): Promise<void> {
    const current = this.process.runs.at(-1)
    const wasStopping = this.process.isStopping
    for (const process of this.processes) {
      if (process.isRunning) this.updateSample(process.runs.at(-1)!)
    }
    const isReady = await this.isReady()
    const sample = current === undefined ? undefined : this.samples.get(current)
    if (!isReady || wasStopping || sample === undefined) return
    this.samples.set(current!, { ...sample, lastReadyAtMs: performance.now() })
  }

  private updateSample (run: ProcessRun): void {
    const previous = this.samples.get(run) ?? { peakMemoryMb: 0, slowed: [], sampledAtMs: run.startedAtMs, waitedMs: 0 }
    const sampledAtMs = performance.now()
    const { waitedMs } = readProcessorTimes(run.pid)
    const wasSlowed = waitedMs - previous.waitedMs > soakConstants.slowedWaitMs
    this.samples.set(run, {
      ...previous,
      sampledAtMs,
      waitedMs,
      peakMemoryMb: Math.max(previous.peakMemoryMb, readPeakMemoryMb(run.pid)),
      slowed: wasSlowed ? [...previous.slowed, { fromMs: previous.sampledAtMs, toMs: sampledAtMs }] : previous.slowed
    })
  }

  private async isReady (): Promise<boolean> {
    const url = `http://${this.ipAddress}:7002/-/readiness`
    const answer = await fetch(url, { signal: AbortSignal.timeout(readinessTimeoutMs) }).catch(() => undefined)
    return answer?.status === 200
  }
}

function isSignalDue ({ pid, runs }: ManagedProcess): boolean {
  const [, markedMs] = runs.at(-1)?.errorLines.map(line => runtimeMarkPattern.exec(line)).find(match => match !== null) ?? []
  return markedMs !== undefined && readProcessorTimes(pid).ranMs >= Number(markedMs) + soakConstants.handlerStartMs
}

/** Largest resident memory of a process, in MB; 0 when it has ended. */
function readPeakMemoryMb (pid: number | undefined): number {
  return Number(/VmHWM:\s+(\d+)/.exec(readProcessFile(pid, 'status'))?.[1] ?? 0) / 1024
}

/** Time that the main thread of a process has run and has waited for a processor, in ms; infinite when it has ended. */
function readProcessorTimes (pid: number | undefined): { readonly ranMs: number, readonly waitedMs: number } {
  const text = readProcessFile(pid, 'schedstat')
  if (text === '') return { ranMs: Infinity, waitedMs: Infinity }
  const [ranNs, waitedNs] = text.split(' ').map(Number)
  return { ranMs: ranNs! / 1e6, waitedMs: waitedNs! / 1e6 }
}

function readProcessFile (pid: number | undefined, name: string): string {
  try {
    return readFileSync(`/proc/${pid}/${name}`, 'utf8')
  } catch {
    // The process has ended.
    return ''
  }
}

import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { ManagedProcess } from '../processes/managedProcess.js'
import { processConstants } from '../processes/constants.js'

interface HostProcessOptions {
  readonly id: string
  readonly ipAddress: string
  /** Ports for clients, readiness and address queries follow each other. */
  readonly firstPort?: number
  readonly folder: string
  readonly program: string
  readonly storeAddress: string
  /** Changes the text of the settings file. */
  readonly editSettings?: (text: string) => string
  /** Most file descriptors of the process. */
  readonly descriptorLimit?: number
  /** Options of Node.js. */
  readonly nodeOptions?: readonly string[]
}

/** A process of `lycheetrack gateway` with a settings file that a test can change. */
export class HostProcess {
  readonly process: ManagedProcess
  readonly settingsPath: string
  private readonly firstPort: number

  constructor (private readonly options: HostProcessOptions) {
    const { id, folder, program, firstPort = 7001, descriptorLimit, nodeOptions = [] } = options
    this.firstPort = firstPort
    this.settingsPath = join(folder, `${id}.toml`)
    this.process = new ManagedProcess({
      id,
      args: [...nodeOptions, program, 'gateway'],
      environment: { LYCHEETRACK_SETTINGS: this.settingsPath },
      inheritedVariables: processConstants.platformVariables,
      launcher: descriptorLimit === undefined ? [] : ['sh', '-c', `ulimit -n ${descriptorLimit}; exec "$0" "$@"`]
    })
  }

  get clientAddress (): string {
    return `${this.options.ipAddress}:${this.firstPort}`
  }

  start (): this {
    this.writeSettings()
    this.process.start()
    return this
  }

  writeSettings (): void {
    const { id, ipAddress, storeAddress, descriptorLimit, editSettings = text => text } = this.options
    writeFileSync(this.settingsPath, editSettings(`nodeName = "${id}"
zone = "quay-a"
ipAddress = "${ipAddress}"
internalPortRange = [7740,7755]
[listenAddresses]
front = "${this.clientAddress}"
ready = "${ipAddress}:${this.firstPort + 1}"
directory = "${ipAddress}:${this.firstPort + 2}"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 400
fileDescriptors = ${descriptorLimit ?? 4100}
[bounds]
drainMs = 2000
gracePeriodS = 8
configurationMs = 2000
stableWindowMs = 3000
ttl_max_s = 5
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 56
[platform]
address = "${storeAddress}"
`))
  }

  /** Resolves with whether the host became ready, at the latest when its process has ended. */
  async waitReady (): Promise<boolean> {
    const untilMs = performance.now() + processConstants.startTimeoutMs
    const url = `http://${this.options.ipAddress}:${this.firstPort + 1}/-/readiness`
    while (this.process.isRunning && performance.now() < untilMs) {
      if ((await fetch(url).catch(() => undefined))?.status === 200) return true
      await delay(processConstants.pollIntervalMs)
    }
    return false
  }

  /** Log lines with a message. */
  listLines (message: string): ReadonlyArray<Record<string, unknown>> {
    return this.process.listOutputLines().map(line => JSON.parse(line) as Record<string, unknown>).filter(line => line.message === message)
  }
}

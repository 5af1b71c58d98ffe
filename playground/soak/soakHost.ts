import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as waitMs } from 'node:timers/promises'
import { FaultProxy } from './faultProxy.js'
import { ManagedProcess } from '../processes/managedProcess.js'
import { processConstants } from '../processes/constants.js'
import { ProcessError } from '../processes/processError.js'
import { soakConstants } from './constants.js'

const readinessTimeoutMs = 500
/** Options of Node.js in the deploy file. */
const deployedNodeOptions = ['--max-old-space-size=160']

interface SoakHostOptions {
  readonly index: number
  /** Third byte of the loopback addresses; concurrent runs use different ones. */
  readonly network: number
  readonly folder: string
  readonly program: string
  readonly storeAddress: string
  /** Memory of the machine, in MB. */
  readonly memoryMb?: number
  /** Options of Node.js beyond those of the deploy file. */
  readonly nodeOptions?: readonly string[]
}

/** One host of a soak test: a process of the product, which reaches the store through a fault-injecting proxy. */
export class SoakHost {
  readonly id: string
  readonly storeProxy: FaultProxy
  readonly process: ManagedProcess
  readonly directoryAddress: string
  readonly ipAddress: string
  private readonly settingsPath: string
  private readonly memoryMb: number
  private heartbeatMs = 1200

  constructor ({ index, network, folder, program, storeAddress, memoryMb = 400, nodeOptions = [] }: SoakHostOptions) {
    this.memoryMb = memoryMb
    this.id = `host-${index}`
    this.ipAddress = `127.1.${network}.${index + 1}`
    this.directoryAddress = `${this.ipAddress}:7003`
    this.settingsPath = join(folder, `${this.id}.toml`)
    this.storeProxy = new FaultProxy(storeAddress)
    this.process = new ManagedProcess({
      id: this.id,
      args: [...deployedNodeOptions, ...nodeOptions, program, 'gateway'],
      environment: { LYCHEETRACK_SETTINGS: this.settingsPath },
      // With the options of the test runner, its modules load and handle signals before the program does.
      excludedVariables: ['NODE_OPTIONS']
    })
  }

  async start (): Promise<this> {
    await this.storeProxy.start()
    this.writeSettings()
    this.process.start()
    return this
  }

  /** Writes the settings file with a new heartbeat interval, so that each reload has a change to apply. */
  writeSettings (): void {
    this.heartbeatMs++
    writeFileSync(this.settingsPath, `
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
fileDescriptors = 1024
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
    await this.process.stop(soakConstants.gracePeriodMs)
    this.storeProxy.stop()
  }

  private async isReady (): Promise<boolean> {
    const url = `http://${this.ipAddress}:7002/-/readiness`
    const answer = await fetch(url, { signal: AbortSignal.timeout(readinessTimeoutMs) }).catch(() => undefined)
    return answer?.status === 200
  }
}

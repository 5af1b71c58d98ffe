import { setTimeout as waitMs } from 'node:timers/promises'
import { request } from 'undici'
import { processConstants } from './constants.js'
import { ManagedProcess } from './managedProcess.js'
import { ProcessError } from './processError.js'

interface EntryHostOptions {
  /** Path of lycheetrack.cjs. */
  readonly program: string
  readonly id: string
  readonly failureDomain: string
  /** `ip:port`. */
  readonly address: string
  readonly peerAddress: string
  /** Addresses that the host advertises to callers and peers; they differ from the listen addresses when a proxy is in front. */
  readonly advertise: string
  readonly peerAdvertise: string
  readonly keyValueUrl: string
  readonly hostListUrl: string
  readonly operatorToken: string
  readonly peerSecret: string
  /** Additional LYCHEETRACK_ variables. */
  readonly environment: Readonly<Record<string, string>>
  /** Words of a command that runs the process. */
  readonly launcher?: readonly string[]
}

/** The process of one entry host. A restart keeps its id and its addresses. */
export class EntryHostProcess {
  readonly id: string
  readonly failureDomain: string
  readonly address: string
  readonly peerAddress: string
  readonly advertise: string
  readonly peerAdvertise: string
  readonly process: ManagedProcess

  constructor (options: EntryHostOptions) {
    this.id = options.id
    this.failureDomain = options.failureDomain
    this.address = options.address
    this.peerAddress = options.peerAddress
    this.advertise = options.advertise
    this.peerAdvertise = options.peerAdvertise
    this.process = new ManagedProcess({
      id: options.id,
      args: [options.program, 'serve'],
      launcher: options.launcher,
      environment: {
        LYCHEETRACK_HOST_ID: options.id,
        LYCHEETRACK_FAILURE_DOMAIN: options.failureDomain,
        LYCHEETRACK_LISTEN: options.address,
        LYCHEETRACK_PEER_LISTEN: options.peerAddress,
        LYCHEETRACK_ADVERTISE: options.advertise,
        LYCHEETRACK_PEER_ADVERTISE: options.peerAdvertise,
        LYCHEETRACK_KEY_VALUE_URL: options.keyValueUrl,
        LYCHEETRACK_HOST_LIST_URL: options.hostListUrl,
        LYCHEETRACK_OPERATOR_TOKEN: options.operatorToken,
        LYCHEETRACK_PEER_SECRET: options.peerSecret,
        ...options.environment
      }
    })
  }

  /** Resolves when `/readyz` answers 200. */
  async waitReady (timeoutMs: number = processConstants.startTimeoutMs): Promise<void> {
    const untilMs = performance.now() + timeoutMs
    let lastAnswer = 'no answer'
    while (performance.now() < untilMs) {
      if (!this.process.isRunning) throw new ProcessError(`${this.id} ended before it was ready: ${this.process.listErrorLines().join('\n')}`)
      const answer = await request(`http://${this.address}/readyz`, { signal: AbortSignal.timeout(processConstants.controlTimeoutMs) }).catch(() => undefined)
      if (answer) {
        lastAnswer = `${answer.statusCode} ${await answer.body.text()}`
        if (answer.statusCode === 200) return
      }
      await waitMs(processConstants.pollIntervalMs)
    }
    throw new ProcessError(`${this.id} was not ready after ${timeoutMs} ms (last answer: ${lastAnswer}): ${this.process.listErrorLines().join('\n')}`)
  }
}

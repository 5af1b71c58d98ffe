import { Agent, request as sendRequest } from 'node:http'
import { setTimeout as waitMs } from 'node:timers/promises'
import { soakConstants } from './constants.js'
import type { IncomingMessage } from 'node:http'
import type { Random } from '../../src/types/random.js'
import type { SoakRequest } from './soakRequest.js'

const kinds: ReadonlyArray<SoakRequest['kind']> = ['safe', 'once', 'stream', 'brittle', 'pipe']

interface SoakClientOptions {
  readonly name: string
  readonly directories: readonly string[]
  readonly random: Random
  readonly onRequest: (request: SoakRequest) => void
}

/**
 * A client that looks up host addresses in the hosts' directory and sends requests of random kinds, one at a time, over
 * persistent connections.
 */
export class SoakClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 4 })
  private addresses: readonly string[] = []
  private addressesExpireAtMs = 0
  private requestCount = 0
  private isStopped = false

  constructor (private readonly options: SoakClientOptions) {}

  /** Sends requests until `stop`. */
  async run (): Promise<void> {
    while (!this.isStopped) {
      if (performance.now() >= this.addressesExpireAtMs) await this.readAddresses()
      const address = this.chooseItem(this.addresses)
      if (address === undefined) await waitMs(soakConstants.maxClientPauseMs * 5)
      else this.options.onRequest(await this.sendOne(address))
      await waitMs(soakConstants.maxClientPauseMs * this.options.random())
    }
    this.agent.destroy()
  }

  stop (): void {
    this.isStopped = true
  }

  /** Looks up the addresses; the known ones stay in use when no host answers. */
  private async readAddresses (): Promise<void> {
    for (let attempt = 0; attempt < 3; attempt++) {
      const directory = this.chooseItem(this.options.directories)!
      try {
        const answer = await fetch(`http://${directory}/-/resolution?name=soak.example&region=region-1&zone=zone-1`, {
          signal: AbortSignal.timeout(soakConstants.directoryTimeoutMs)
        })
        const { addresses } = await answer.json() as { addresses?: readonly string[] }
        if (answer.status !== 200 || addresses === undefined) continue
        this.addresses = addresses
        this.addressesExpireAtMs = performance.now() + soakConstants.addressLifetimeMs
        return
      } catch {
        // A host that is down or unreachable does not answer, so another one is asked.
        continue
      }
    }
  }

  private async sendOne (address: string): Promise<SoakRequest> {
    const kind = this.chooseItem(kinds)!
    const id = `${this.options.name}-${++this.requestCount}`
    const method = kind === 'safe' ? 'GET' : 'POST'
    const body = method === 'POST' ? `body of ${id}` : ''
    const path = `/${kind}/${id}`
    // The client closes 5% of its requests within the first quarter of their timeout.
    const abandonsEarly = this.options.random() < 0.05
    const timeoutMs = soakConstants.clientTimeoutMs
    const request = { id, kind, method, path, body, timeoutMs, sentAtMs: performance.now() }
    const [host, port] = address.split(':')
    const headers: Record<string, string> = {
      host: 'soak.example',
      authorization: 'Token soak-key',
      'x-request-id': id,
      'x-time-remaining': String(timeoutMs),
      ...method === 'POST' ? { 'content-length': String(body.length) } : {},
      ...kind === 'safe' || kind === 'once' ? {} : { 'x-model': 'm', 'x-token-counts': '10,80', 'x-prompt-prefix': `aa:4,${this.requestCount.toString(16)}:6` },
      ...kind === 'pipe' ? { 'x-pieces': '2,2', 'x-piece-key': `key-${id}` } : {}
    }
    return await new Promise(resolve => {
      let answer = ''
      let received: IncomingMessage | undefined
      const end = (isComplete: boolean): void => {
        clearTimeout(timer)
        resolve({ ...request, status: received?.statusCode, signature: received?.headers['x-response-signature'] as string | undefined, answer, isComplete })
      }
      const call = sendRequest({ host, port, method, path, headers, agent: this.agent }, response => {
        received = response
        response.setEncoding('utf8')
        response.on('data', (text: string) => { answer += text })
        response.on('close', () => { end(response.complete) })
      })
      const timer = setTimeout(() => { call.destroy() }, abandonsEarly ? timeoutMs * this.options.random() / 4 : timeoutMs)
      call.on('error', () => { end(false) })
      call.on('close', () => { if (received === undefined) end(false) })
      call.end(body)
    })
  }

  private chooseItem<T> (items: readonly T[]): T | undefined {
    return items[Math.floor(this.options.random() * items.length)]
  }
}

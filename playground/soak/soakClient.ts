import { Agent, request as sendRequest } from 'node:http'
import { setTimeout as waitMs } from 'node:timers/promises'
import { buildDraft } from './buildDraft.js'
import { soakConstants } from './constants.js'
import { SoakDirectory } from './soakDirectory.js'
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
  private readonly directory: SoakDirectory
  private requestCount = 0
  private isStopped = false

  constructor (private readonly options: SoakClientOptions) {
    this.directory = new SoakDirectory(options.directories, options.random)
  }

  /** Sends requests until `stop`. */
  async run (): Promise<void> {
    while (!this.isStopped) {
      const address = await this.directory.readAddress()
      if (address === undefined) await waitMs(soakConstants.maxClientPauseMs * 5)
      else this.options.onRequest(await this.sendOne(address))
      await waitMs(soakConstants.maxClientPauseMs * this.options.random())
    }
    this.agent.destroy()
  }

  stop (): void {
    this.isStopped = true
  }

  private async sendOne (address: string): Promise<SoakRequest> {
    const { name, random } = this.options
    const kind = kinds[Math.floor(random() * kinds.length)]!
    const { headers, ...draft } = buildDraft({ kind, client: name, count: ++this.requestCount })
    // The client closes 5% of its requests within the first quarter of their timeout.
    const abandonsEarly = random() < 0.05
    const [host = '', port] = address.split(':')
    const { method, path, body, timeoutMs } = draft
    const sentAtMs = performance.now()
    return await new Promise(resolve => {
      let answer = ''
      let received: IncomingMessage | undefined
      let writtenAtMs: number | undefined
      let hasLeft = false
      let wasReset = false
      const end = (isComplete: boolean): void => {
        clearTimeout(timer)
        resolve({
          ...draft,
          form: 'single',
          sentAtMs,
          writtenAtMs,
          endedAtMs: performance.now(),
          host,
          isKept: call.reusedSocket,
          hasLeft,
          wasReset,
          status: received?.statusCode,
          signature: received?.headers['x-response-signature'] as string | undefined,
          answeredId: received?.headers['x-request-id'] as string | undefined,
          answer,
          isComplete
        })
      }
      const call = sendRequest({ host, port, method, path, headers, agent: this.agent }, response => {
        received = response
        response.setEncoding('utf8')
        response.on('data', (text: string) => { answer += text })
        response.on('close', () => { end(response.complete) })
      })
      const timer = setTimeout(() => {
        hasLeft = true
        call.destroy()
      }, abandonsEarly ? timeoutMs * random() / 4 : timeoutMs)
      call.on('finish', () => { writtenAtMs = performance.now() })
      call.on('error', (error: NodeJS.ErrnoException) => {
        wasReset = error.code === 'ECONNRESET' && error.syscall === 'read'
        end(false)
      })
      call.on('close', () => { if (received === undefined) end(false) })
      call.end(body)
    })
  }
}

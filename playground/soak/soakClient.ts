import { Agent, request as sendRequest } from 'node:http'
import { setTimeout as waitMs } from 'node:timers/promises'
import { buildDraft } from './buildDraft.js'
import { listStreamEvents } from './listStreamEvents.js'
import { soakConstants } from './constants.js'
import { SoakDirectory } from './soakDirectory.js'
import type { IncomingMessage } from 'node:http'
import type { Random } from '../../src/types/random.js'
import type { SoakDraft } from './soakDraft.js'
import type { SoakRequest } from './soakRequest.js'

const kinds: ReadonlyArray<SoakRequest['kind']> = ['safe', 'once', 'stream', 'brittle', 'pipe']
/** For clients that resume streams: the share of their requests that are long streams, and of these that they break off. */
const longStreamShare = 0.6
const brokenStreamShare = 0.4
const maxBrokenOffEvents = 5
const maxResumptions = 3

interface SoakClientOptions {
  readonly name: string
  readonly directories: readonly string[]
  readonly random: Random
  readonly onRequest: (request: SoakRequest) => void
  /** Whether the client breaks off streams and resumes those that are broken off, at any host. */
  readonly resumesStreams: boolean
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
      else await this.sendNext(address)
      await waitMs(soakConstants.maxClientPauseMs * this.options.random())
    }
    this.agent.destroy()
  }

  stop (): void {
    this.isStopped = true
  }

  private async sendNext (address: string): Promise<void> {
    const { name, random, onRequest, resumesStreams } = this.options
    const isLongStream = resumesStreams && random() < longStreamShare
    const kind = isLongStream ? 'stream' : kinds[Math.floor(random() * kinds.length)]!
    const eventIntervalMs = isLongStream ? soakConstants.longEventIntervalMs : undefined
    const breaksOff = isLongStream && random() < brokenStreamShare
    const request = await this.sendOne(
      address,
      buildDraft({ kind, client: name, count: ++this.requestCount, eventIntervalMs }),
      breaksOff ? 1 + Math.floor(random() * maxBrokenOffEvents) : Infinity
    )
    onRequest(request)
    if (isLongStream) await this.resumeStream(request)
  }

  /** Resumes a stream that has begun until it has all its events, a few times at most. */
  private async resumeStream (request: SoakRequest): Promise<void> {
    const { name, random, onRequest } = this.options
    let lastEventId = findLastEventId(request) ?? 0
    for (let count = 0; count < maxResumptions && !this.isStopped; count++) {
      if (lastEventId === 0 || lastEventId >= soakConstants.eventCount) return
      await waitMs(random() * soakConstants.maxResumePauseMs)
      const address = await this.directory.readAddress()
      if (address === undefined) continue
      const resumption = await this.sendOne(address, buildDraft({
        kind: 'stream',
        client: name,
        count: ++this.requestCount,
        eventIntervalMs: soakConstants.longEventIntervalMs,
        resumed: { request, lastEventId }
      }))
      onRequest(resumption)
      lastEventId = findLastEventId(resumption) ?? lastEventId
    }
  }

  /** Sends a request; leaves after `maxEvents` events. */
  private async sendOne (address: string, { headers, ...draft }: SoakDraft, maxEvents = Infinity): Promise<SoakRequest> {
    const { random } = this.options
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
        response.on('data', (text: string) => {
          answer += text
          if (maxEvents === Infinity || listStreamEvents(answer).length < maxEvents) return
          hasLeft = true
          call.destroy()
        })
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

function findLastEventId ({ answer = '' }: SoakRequest): number | undefined {
  return listStreamEvents(answer).at(-1)?.id
}

import { setTimeout as waitMs } from 'node:timers/promises'
import { buildDraft } from './buildDraft.js'
import { RawConnection } from './rawConnection.js'
import { soakConstants } from './constants.js'
import { SoakDirectory } from './soakDirectory.js'
import type { Random } from '../../src/types/random.js'
import type { SoakDraft } from './soakDraft.js'
import type { SoakRequest } from './soakRequest.js'

interface RawClientOptions {
  readonly name: string
  readonly directories: readonly string[]
  readonly random: Random
  readonly onRequest: (request: SoakRequest) => void
}

const kinds = ['safe', 'once', 'safe', 'once', 'stream', 'brittle'] as const
const forms = [
  'plain',
  'plain',
  'plain',
  'refused',
  'malformed-tail',
  'half-closed',
  'slow-body',
  'large-body',
  'slow-reader'
] as const
const maxBatchSize = 5
/** Batches of a connection, and the share of connections that are used until the host closes them. */
const maxBatches = 4
const keptShare = 0.25

/** A client that sends several requests at once on kept connections, in various forms. */
export class RawClient {
  private readonly directory: SoakDirectory
  private requestCount = 0
  private isStopped = false

  constructor (private readonly options: RawClientOptions) {
    this.directory = new SoakDirectory(options.directories, options.random)
  }

  /** Sends requests until `stop`. */
  async run (): Promise<void> {
    while (!this.isStopped) {
      const address = await this.directory.readAddress()
      if (address === undefined) await waitMs(soakConstants.maxClientPauseMs * 5)
      else await this.runConnection(new RawConnection(address))
      await waitMs(soakConstants.maxClientPauseMs * this.options.random())
    }
  }

  stop (): void {
    this.isStopped = true
  }

  private async runConnection (connection: RawConnection): Promise<void> {
    const { random, onRequest } = this.options
    const batches = random() < keptShare ? Infinity : maxBatches
    for (let batch = 0; batch < batches && connection.isOpen && !this.isStopped; batch++) {
      const form = forms[Math.floor(random() * forms.length)]!
      const isBodyForm = form === 'slow-body' || form === 'large-body'
      const isSlowReader = form === 'slow-reader'
      const count = form === 'half-closed' ? 1 : 2 + Math.floor(random() * (maxBatchSize - 1))
      const refusedIndex = form === 'refused' ? Math.floor(random() * count) : -1
      const bodyBytes = Math.ceil(random() * soakConstants.maxClientBodyBytes)
      const body = form === 'large-body' ? 'x'.repeat(bodyBytes) : undefined
      const drafts = Array.from({ length: count }, (_, i): SoakDraft => buildDraft({
        kind: (isBodyForm && i === count - 1) || (isSlowReader && i === 0) ? 'once' : kinds[Math.floor(random() * kinds.length)]!,
        client: this.options.name,
        count: ++this.requestCount,
        workMs: Math.floor(random() * soakConstants.maxWorkMs),
        body: i === count - 1 ? body : undefined,
        answerBytes: isSlowReader && i === 0 ? soakConstants.largeAnswerBytes : undefined,
        isAllowed: i !== refusedIndex
      }))
      const requests = await connection.sendBatch(drafts, {
        form,
        heldMs: form === 'slow-body' || isSlowReader ? random() * soakConstants.maxHeldBodyMs : 0,
        pausedMs: isSlowReader ? soakConstants.maxHeldBodyMs * (0.5 + random()) : 0,
        tail: form === 'malformed-tail' ? 'no request\r\n\r\n' : '',
        isHalfClosed: form === 'half-closed'
      })
      for (const request of requests) onRequest(request)
      if (form === 'malformed-tail' || form === 'half-closed') break
      await waitMs(soakConstants.maxClientPauseMs * random())
    }
    connection.close()
  }
}

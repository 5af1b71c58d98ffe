import { setTimeout as waitTime } from 'node:timers/promises'
import type { lycheetrack as messages } from '../peers/generated/peer.js'
import { requestConstants } from './constants.js'
import type { RequestEntry } from './requestEntry.js'
import { RequestError } from './requestError.js'
import type { RequestRegistry } from './requestRegistry.js'
import { waitForChange } from './waitForChange.js'

/** Streams the answers of requests that this host owns to hosts that join them. */
export class AnswerStreamServer {
  constructor (private readonly registry: RequestRegistry) {}

  /** Yields the answer from the requested position. Throws `RequestError` with `request_not_found` or `not_owner`. */
  async * openStream (request: messages.IJoinRequestRequest, signal: AbortSignal): AsyncGenerator<messages.IAnswerEvent> {
    const entry = this.getEntry(request)
    const release = entry.addWaiter()
    const { log } = entry
    let generation = request.generation ?? 0
    let offset = request.offset ?? 0
    try {
      while (!signal.aborted) {
        if (generation !== log.generation) {
          // The joined host discards the tokens of the earlier generation.
          if (generation > 0) yield { type: 'restart', generation: log.generation }
          generation = log.generation
          offset = 0
        }
        if (offset < log.tokens.length) {
          const literals = log.tokens.slice(offset, offset + requestConstants.maxTokensPerPeerEvent)
          yield { type: 'tokens', generation, offset, tokens: JSON.parse(`[${literals.join(',')}]`) as string[] }
          offset += literals.length
          continue
        }
        if (log.end !== undefined) {
          yield { type: log.end.kind, generation, payload: JSON.stringify(log.end) }
          return
        }
        this.validateOwner(entry)
        const changed = await waitForChange(log, requestConstants.joinHeartbeatMs, signal)
        if (!changed) yield { type: 'heartbeat' }
        else if (!entry.isEnded) await waitTime(requestConstants.peerBatchDelayMs)
      }
    } finally {
      release()
    }
  }

  private getEntry (request: messages.IJoinRequestRequest): RequestEntry {
    const entry = this.registry.find(request.account ?? '', request.requestId ?? '')
    const bodyHash = request.bodyHash ?? ''
    if (entry === undefined || (bodyHash !== '' && entry.identity.bodyHash !== bodyHash) || entry.isStopped) {
      throw new RequestError('request_not_found', 'this host does not know the request', 404, 'unknown')
    }
    this.validateOwner(entry)
    return entry
  }

  private validateOwner (entry: RequestEntry): void {
    // An answer that this host relays must not be relayed further, or two hosts could wait for each other.
    if (entry.role === 'joined' && !entry.isEnded) throw new RequestError('not_owner', 'this host does not own the request', 409, 'unknown')
  }
}

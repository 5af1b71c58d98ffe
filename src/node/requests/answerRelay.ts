import type { HostRecord } from '../../types/hostRecord.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { lycheetrack as messages } from '../peers/generated/peer.js'
import { peerMethods } from '../peers/peerMethods.js'
import { requestConstants } from './constants.js'
import { parseAnswerEnd } from './parseAnswerEnd.js'
import type { RequestEntry } from './requestEntry.js'

/** Relays the answer of a request from its owner into the local answer log. */
export class AnswerRelay {
  constructor (private readonly transport: PeerTransport) {}

  /**
   * Copies the owner's answer stream into the entry's log. Resolves with `ended` when the log has ended, otherwise with
   * the reason why the stream stopped.
   */
  async run (entry: RequestEntry, owner: HostRecord, signal: AbortSignal): Promise<'ended' | 'lost' | 'not_owner' | 'request_not_found'> {
    const { account, requestId, bodyHash } = entry.identity
    const request = { account, requestId, bodyHash, generation: entry.log.generation, offset: entry.log.tokens.length }
    try {
      const events = this.transport.openStream(owner.peerAddress, peerMethods.joinRequest, request, requestConstants.ownerTimeoutMs, signal)
      for await (const event of events) {
        if (!this.applyEvent(entry, event)) return 'lost'
        if (entry.isEnded) return 'ended'
      }
      return 'lost'
    } catch (error) {
      const code = (error as { code?: string }).code
      return code === 'not_owner' || code === 'request_not_found' ? code : 'lost'
    }
  }

  /** Returns false when the event does not continue the local log. */
  private applyEvent (entry: RequestEntry, event: messages.IAnswerEvent): boolean {
    const { log } = entry
    const generation = event.generation ?? 0
    switch (event.type) {
      case 'restart':
        log.startGeneration(generation)
        return generation === log.generation
      case 'tokens': {
        log.startGeneration(generation)
        const knownCount = log.tokens.length - (event.offset ?? 0)
        if (generation !== log.generation || knownCount < 0) return false
        const tokens = (event.tokens ?? []).slice(knownCount)
        if (tokens.length > 0) log.addTokens(tokens.map(token => JSON.stringify(token)))
        return true
      }
      case 'done':
      case 'error': {
        const end = parseAnswerEnd(event.payload ?? '')
        if (end.kind === 'done' && end.tokenCount !== log.tokens.length) return false
        entry.close(end)
        return true
      }
      default:
        return true
    }
  }
}

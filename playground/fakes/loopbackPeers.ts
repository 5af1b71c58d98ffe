import { LycheetrackError } from '../../src/shared/lycheetrackError.js'
import { PeerRefusedError } from '../../src/shared/peerRefusedError.js'
import { PeerUnavailableError } from '../../src/shared/peerUnavailableError.js'
import type { PeerMethod } from '../../src/types/peerMethod.js'
import type { PeerTransport } from '../../src/types/peerTransport.js'

type Handler = (request: never, peerId: string, signal: AbortSignal) => unknown

/** Peer transports between the hosts of one test process; messages are encoded and decoded. Hosts can be dead or frozen. */
export class LoopbackPeers {
  private readonly handlers = new Map<string, Map<string, Handler>>()
  /** Ids of hosts that are unreachable: calls to them fail at once, and so do unary calls from them. */
  readonly dead = new Set<string>()
  /** Ids of hosts that do not respond: calls to them time out. */
  readonly frozen = new Set<string>()
  /** Unary calls in order, as `<peer id> <method path>`. */
  readonly calls: string[] = []

  createTransport (selfId: string): PeerTransport {
    const handlers = new Map<string, Handler>()
    this.handlers.set(selfId, handlers)
    return {
      send: async (peerAddress, method, request, timeoutMs) => await this.send(selfId, peerAddress, method, request, timeoutMs),
      openStream: (peerAddress, method, request, silenceMs, signal) => this.openStream(selfId, peerAddress, method, request, silenceMs, signal),
      handle: (method, handler) => { handlers.set(method.path, handler as Handler) },
      handleStream: (method, handler) => { handlers.set(method.path, handler as Handler) }
    }
  }

  private async send<Request, Response> (selfId: string, peerId: string, method: PeerMethod<Request, Response>, request: Request, timeoutMs: number): Promise<Response> {
    this.calls.push(`${peerId} ${method.path}`)
    if (this.dead.has(peerId) || this.dead.has(selfId)) throw new PeerUnavailableError(`${peerId} cannot be reached`)
    if (this.frozen.has(peerId)) await this.waitForTimeout(timeoutMs)
    try {
      const answer = await this.getHandler(peerId, method)(method.decodeRequest(method.encodeRequest(request)) as never, selfId, new AbortController().signal)
      return method.decodeResponse(method.encodeResponse(answer as Response))
    } catch (error) {
      throw error instanceof LycheetrackError ? new PeerRefusedError(error.code, error.message) : error
    }
  }

  private async * openStream<Request, Response> (selfId: string, peerId: string, method: PeerMethod<Request, Response>, request: Request, silenceMs: number, signal: AbortSignal): AsyncGenerator<Response> {
    if (this.dead.has(peerId)) throw new PeerUnavailableError(`${peerId} cannot be reached`)
    if (this.frozen.has(peerId)) await this.waitForTimeout(silenceMs)
    const events = this.getHandler(peerId, method)(method.decodeRequest(method.encodeRequest(request)) as never, selfId, signal) as AsyncIterable<Response>
    try {
      for await (const event of events) {
        if (this.dead.has(peerId)) throw new PeerUnavailableError(`${peerId} closed the stream`)
        if (this.frozen.has(peerId)) await this.waitForTimeout(silenceMs)
        yield method.decodeResponse(method.encodeResponse(event))
      }
    } catch (error) {
      throw error instanceof LycheetrackError && !(error instanceof PeerUnavailableError) ? new PeerRefusedError(error.code, error.message) : error
    }
  }

  private getHandler (peerId: string, method: { readonly path: string }): Handler {
    const handler = this.handlers.get(peerId)?.get(method.path)
    if (handler === undefined) throw new PeerUnavailableError(`${peerId} has no handler of ${method.path}`)
    return handler
  }

  // Fails like a call that timed out, but after a tenth of the timeout.
  private async waitForTimeout (timeoutMs: number): Promise<never> {
    await new Promise(resolve => setTimeout(resolve, timeoutMs / 10))
    throw new PeerUnavailableError('no response within the timeout')
  }
}

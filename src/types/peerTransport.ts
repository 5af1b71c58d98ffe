import type { PeerMethod } from './peerMethod.js'

/**
 * Calls between entry hosts. Peers authenticate each other. Calls reject with `PeerUnavailableError`
 * when the peer cannot be reached or does not respond within the timeout, and with `PeerRefusedError`
 * (which carries a code) when the peer's handler threw a `LycheetrackError`.
 */
export interface PeerTransport {
  send<Request, Response> (peerAddress: string, method: PeerMethod<Request, Response>, request: Request, timeoutMs: number): Promise<Response>
  /** Opens a server stream. The iterator throws `PeerUnavailableError` when the stream breaks or stays silent for `silenceMs`. */
  openStream<Request, Response> (peerAddress: string, method: PeerMethod<Request, Response>, request: Request, silenceMs: number, signal: AbortSignal): AsyncIterable<Response>
  /** Registers the handler of a unary method; `peerId` is the authenticated host id of the sender. */
  handle<Request, Response> (method: PeerMethod<Request, Response>, handler: (request: Request, peerId: string) => Promise<Response> | Response): void
  handleStream<Request, Response> (method: PeerMethod<Request, Response>, handler: (request: Request, peerId: string, signal: AbortSignal) => AsyncIterable<Response>): void
}

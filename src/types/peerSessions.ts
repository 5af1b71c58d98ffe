import type { PeerMethod } from './peerMethod.js'
import type { PeerSession } from './peerSession.js'
import type { PeerSessionHandler } from './peerSessionHandler.js'

/**
 * Long-lived sessions between hosts, for messages that are too frequent for a call each. Peers authenticate each other
 * when a session is opened.
 */
export interface PeerSessions {
  /** Opens a session. It closes when the peer is not connected within `connectMs`, or stays silent for longer than the keepalive allows. */
  openSession<Request, Response> (peerAddress: string, method: PeerMethod<Request, Response>, connectMs: number, handler: PeerSessionHandler<Response>): PeerSession<Request>
  /** Accepts the sessions of peers; `peerId` is the authenticated host id of the caller. */
  handleSession<Request, Response> (method: PeerMethod<Request, Response>, accept: (session: PeerSession<Response>, peerId: string) => PeerSessionHandler<Request>): void
}

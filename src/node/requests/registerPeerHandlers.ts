import type { Clock } from '../../types/clock.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import { peerMethods } from '../peers/peerMethods.js'
import type { AnswerStreamServer } from './answerStreamServer.js'
import { decodeRegistration } from './decodeRegistration.js'
import { encodeRegistrationResult } from './encodeRegistrationResult.js'
import type { HandOver } from './handOver.js'
import type { RequestDirectory } from './requestDirectory.js'

interface PeerHandlerOptions {
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly directory: RequestDirectory
  readonly answers: AnswerStreamServer
  readonly handOver: HandOver
  /** Cancels a request on this host; false when it does not know the request. */
  readonly cancel: (account: string, requestId: string) => boolean
}

/** Registers the handlers of peer calls for the directory, joins, cancellation and handover. */
export function registerPeerHandlers (options: PeerHandlerOptions): void {
  const { transport, clock, directory, answers, handOver, cancel } = options
  transport.handle(peerMethods.registerRequest, request =>
    encodeRegistrationResult(directory.register(decodeRegistration(request), clock.readMonotonicMs())))
  transport.handle(peerMethods.findRequest, request =>
    encodeRegistrationResult(directory.find(request.account ?? '', request.requestId ?? '')))
  transport.handleStream(peerMethods.joinRequest, (request, _peerId, signal) => answers.openStream(request, signal))
  transport.handle(peerMethods.cancelRequest, request => ({ found: cancel(request.account ?? '', request.requestId ?? '') }))
  transport.handle(peerMethods.handOver, async (request, peerId) => ({ accepted: await handOver.receive(request, peerId) }))
}

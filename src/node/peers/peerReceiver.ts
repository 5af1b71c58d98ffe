import { once } from 'node:events'
import type { Metadata, Server, sendUnaryData, ServerDuplexStream, ServerUnaryCall, ServerWritableStream, ServiceError } from '@grpc/grpc-js'
import { Metadata as GrpcMetadata, status } from '@grpc/grpc-js'
import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { PeerMethod } from '../../types/peerMethod.js'
import type { PeerSession } from '../../types/peerSession.js'
import type { PeerSessionHandler } from '../../types/peerSessionHandler.js'
import type { PeerAuthenticator } from './peerAuthenticator.js'
import type { PeerTrafficCounter } from './peerTrafficCounter.js'

/** Server side of the calls between hosts: authenticates callers, runs the handlers and encodes their errors. */
export class PeerReceiver {
  constructor (private readonly server: Server, private readonly authenticator: PeerAuthenticator, private readonly traffic: PeerTrafficCounter) {}

  handle<Request, Response> (method: PeerMethod<Request, Response>, handler: (request: Request, peerId: string) => Promise<Response> | Response): void {
    const serialize = this.traffic.createSerializer(method.path, method.encodeResponse)
    const parse = this.traffic.createParser(method.path, method.decodeRequest)
    this.server.register<Request, Response>(method.path, (call: ServerUnaryCall<Request, Response>, callback: sendUnaryData<Response>) => {
      const run = async (): Promise<Response> => {
        const peerId = this.authenticator.validateCallMetadata(call.metadata, method.path)
        call.sendMetadata(this.createMetadata(method.path, call.metadata))
        return await handler(call.request, peerId)
      }
      run().then(response => { callback(null, response) }, (error: unknown) => { callback(buildServiceError(error)) })
    }, serialize, parse, 'unary')
  }

  handleStream<Request, Response> (method: PeerMethod<Request, Response>, handler: (request: Request, peerId: string, signal: AbortSignal) => AsyncIterable<Response>): void {
    const serialize = this.traffic.createSerializer(method.path, method.encodeResponse)
    const parse = this.traffic.createParser(method.path, method.decodeRequest)
    this.server.register<Request, Response>(method.path, (call: ServerWritableStream<Request, Response>) => {
      const controller = new AbortController()
      const onEnd = (): void => { controller.abort() }
      call.on('cancelled', onEnd)
      call.on('close', onEnd)
      call.on('error', onEnd)
      const run = async (): Promise<void> => {
        const peerId = this.authenticator.validateCallMetadata(call.metadata, method.path)
        call.sendMetadata(this.createMetadata(method.path, call.metadata))
        for await (const message of handler(call.request, peerId, controller.signal)) {
          if (controller.signal.aborted) return
          if (!call.write(message)) await once(call, 'drain', { signal: controller.signal })
        }
        call.end()
      }
      run().catch((error: unknown) => { if (!controller.signal.aborted) call.emit('error', buildServiceError(error)) })
    }, serialize, parse, 'serverStream')
  }

  handleSession<Request, Response> (method: PeerMethod<Request, Response>, accept: (session: PeerSession<Response>, peerId: string) => PeerSessionHandler<Request>): void {
    const serialize = this.traffic.createSerializer(method.path, method.encodeResponse)
    const parse = this.traffic.createParser(method.path, method.decodeRequest)
    this.server.register<Request, Response>(method.path, (call: ServerDuplexStream<Request, Response>) => {
      let isClosed = false
      const close = (): void => {
        isClosed = true
        call.end()
      }
      try {
        const peerId = this.authenticator.validateCallMetadata(call.metadata, method.path)
        call.sendMetadata(this.createMetadata(method.path, call.metadata))
        const send: PeerSession<Response>['send'] = (message, onSent) => { if (!isClosed) call.write(message, onSent) }
        const handler = accept({ send, close }, peerId)
        const end = (reason: string): void => {
          if (isClosed) return
          close()
          handler.onClosed(reason)
        }
        call.on('data', (message: Request) => { if (!isClosed) handler.onMessage(message) })
        call.on('end', () => { end('closed by the peer') })
        call.on('cancelled', () => { end('cancelled by the peer') })
        call.on('error', error => { end(error.message) })
      } catch (error) {
        call.emit('error', buildServiceError(error))
      }
    }, serialize, parse, 'bidi')
  }

  private createMetadata (path: string, call: Metadata): Metadata {
    const metadata = this.authenticator.createResponseMetadata(call, path)
    this.traffic.recordReceived(path, this.traffic.computeMetadataBytes(call))
    this.traffic.recordSent(path, this.traffic.computeMetadataBytes(metadata))
    return metadata
  }
}

// A `LycheetrackError` is sent to the caller with its code; the details of any other error are hidden.
function buildServiceError (error: unknown): Partial<ServiceError> {
  if (!(error instanceof LycheetrackError)) return { code: status.INTERNAL, details: 'the handler failed' }
  const metadata = new GrpcMetadata()
  metadata.set('x-lt-code', error.code)
  const code = error.code === 'peer_unauthenticated' ? status.UNAUTHENTICATED : status.FAILED_PRECONDITION
  return { code, details: error.message, metadata }
}

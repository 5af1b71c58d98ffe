import type { Client, ClientDuplexStream, ClientReadableStream, Metadata, ServiceError } from '@grpc/grpc-js'
import { status } from '@grpc/grpc-js'
import { PeerRefusedError } from '../../shared/peerRefusedError.js'
import { PeerUnavailableError } from '../../shared/peerUnavailableError.js'
import type { PeerMethod } from '../../types/peerMethod.js'
import type { PeerAuthenticator } from './peerAuthenticator.js'
import type { PeerSession } from '../../types/peerSession.js'
import type { PeerSessionHandler } from '../../types/peerSessionHandler.js'
import type { PeerChannels } from './peerChannels.js'
import type { PeerTrafficCounter } from './peerTrafficCounter.js'

/** Client side of the calls between hosts. */
export class PeerCaller {
  constructor (private readonly channels: PeerChannels, private readonly authenticator: PeerAuthenticator, private readonly traffic: PeerTrafficCounter) {}

  async send<Request, Response> (peerAddress: string, method: PeerMethod<Request, Response>, request: Request, timeoutMs: number): Promise<Response> {
    const client = this.channels.getClient(peerAddress)
    const metadata = this.createMetadata(method.path)
    const serialize = this.traffic.createSerializer(method.path, method.encodeRequest)
    const parse = this.traffic.createParser(method.path, method.decodeResponse)
    return await new Promise((resolve, reject) => {
      let isAuthentic = false
      const call = client.makeUnaryRequest(method.path, serialize, parse, request, metadata, { deadline: Date.now() + timeoutMs }, (error, response) => {
        this.recordOutcome(peerAddress, client, error)
        if (error) reject(buildPeerError(peerAddress, error))
        else if (!isAuthentic) reject(new PeerUnavailableError(`${peerAddress} did not prove the shared secret`))
        else resolve(response as Response)
      })
      call.on('metadata', responseMetadata => { isAuthentic = this.isResponseAuthentic(method.path, metadata, responseMetadata) })
    })
  }

  async * openStream<Request, Response> (peerAddress: string, method: PeerMethod<Request, Response>, request: Request, silenceMs: number, signal: AbortSignal): AsyncIterable<Response> {
    if (signal.aborted) return
    const client = this.channels.getClient(peerAddress)
    const metadata = this.createMetadata(method.path)
    const serialize = this.traffic.createSerializer(method.path, method.encodeRequest)
    const parse = this.traffic.createParser(method.path, method.decodeResponse)
    const call: ClientReadableStream<Response> = client.makeServerStreamRequest(method.path, serialize, parse, request, metadata)
    call.on('metadata', responseMetadata => {
      if (!this.isResponseAuthentic(method.path, metadata, responseMetadata)) call.destroy(new PeerUnavailableError(`${peerAddress} did not prove the shared secret`))
    })
    // A broken stream may emit an error after the iterator has ended, which would otherwise be unhandled.
    call.on('error', () => {})
    const onAbort = (): void => { call.cancel() }
    signal.addEventListener('abort', onAbort)
    try {
      const iterator = call[Symbol.asyncIterator]() as AsyncIterator<Response>
      for (;;) {
        const item = await this.readItem(iterator, call, peerAddress, client, silenceMs)
        if (item.done === true) return
        yield item.value
      }
    } catch (error) {
      if (signal.aborted) return
      throw buildPeerError(peerAddress, error)
    } finally {
      signal.removeEventListener('abort', onAbort)
      call.cancel()
    }
  }

  openSession<Request, Response> (peerAddress: string, method: PeerMethod<Request, Response>, connectMs: number, handler: PeerSessionHandler<Response>): PeerSession<Request> {
    const client = this.channels.getClient(peerAddress)
    const metadata = this.createMetadata(method.path)
    const serialize = this.traffic.createSerializer(method.path, method.encodeRequest)
    const parse = this.traffic.createParser(method.path, method.decodeResponse)
    const call: ClientDuplexStream<Request, Response> = client.makeBidiStreamRequest(method.path, serialize, parse, metadata)
    let isClosed = false
    const close = (): void => {
      isClosed = true
      clearTimeout(connectTimer)
      call.cancel()
    }
    const end = (reason: string): void => {
      if (isClosed) return
      close()
      handler.onClosed(reason)
    }
    const connectTimer = setTimeout(() => {
      this.channels.onTimeout(peerAddress, client)
      end(`${peerAddress} did not accept the session within ${connectMs} ms`)
    }, connectMs)
    call.on('metadata', responseMetadata => {
      clearTimeout(connectTimer)
      this.channels.onResponse(peerAddress, client)
      if (!this.isResponseAuthentic(method.path, metadata, responseMetadata)) end(`${peerAddress} did not prove the shared secret`)
    })
    call.on('data', (message: Response) => { if (!isClosed) handler.onMessage(message) })
    call.on('error', error => { end(buildPeerError(peerAddress, error).message) })
    call.on('end', () => { end(`${peerAddress} closed the session`) })
    return { send: (message, onSent) => { if (!isClosed) call.write(message, onSent) }, close }
  }

  // The silence timer runs only while the consumer waits for an item, so a slow consumer does not count as a silent peer.
  private async readItem<Response> (iterator: AsyncIterator<Response>, call: ClientReadableStream<Response>, peerAddress: string, client: Client, silenceMs: number): Promise<IteratorResult<Response>> {
    const silenceTimer = setTimeout(() => {
      this.channels.onTimeout(peerAddress, client)
      call.destroy(new PeerUnavailableError(`${peerAddress} was silent for ${silenceMs} ms`))
      call.cancel()
    }, silenceMs)
    try {
      const item = await iterator.next()
      this.channels.onResponse(peerAddress, client)
      return item
    } finally {
      clearTimeout(silenceTimer)
    }
  }

  private createMetadata (path: string): Metadata {
    const metadata = this.authenticator.createCallMetadata(path)
    this.traffic.recordSent(path, this.traffic.computeMetadataBytes(metadata))
    return metadata
  }

  private isResponseAuthentic (path: string, call: Metadata, response: Metadata): boolean {
    this.traffic.recordReceived(path, this.traffic.computeMetadataBytes(response))
    return this.authenticator.isResponseAuthentic(call, response)
  }

  private recordOutcome (peerAddress: string, client: Client, error: ServiceError | null): void {
    if (error?.code === status.DEADLINE_EXCEEDED) this.channels.onTimeout(peerAddress, client)
    else this.channels.onResponse(peerAddress, client)
  }
}

function buildPeerError (peerAddress: string, error: unknown): PeerRefusedError | PeerUnavailableError {
  if (error instanceof PeerUnavailableError) return error
  const { metadata, details } = error as Partial<ServiceError>
  const code = metadata?.get('x-lt-code')[0]
  if (code !== undefined) return new PeerRefusedError(String(code), details ?? '')
  return new PeerUnavailableError(`${peerAddress}: ${details ?? 'call failed'}`, { cause: error })
}

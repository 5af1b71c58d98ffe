import type { PeerMethod } from '../../types/peerMethod.js'

interface MessageCodec<Message> {
  encode (message: Message): { finish (): Uint8Array }
  decode (bytes: Uint8Array): Message
}

/** Describes one method of the peer protocol by its name and the codecs of its messages. */
export function createPeerMethod<Request, Response> (
  name: string,
  request: MessageCodec<Request>,
  response: MessageCodec<Response>,
  streaming = false
): PeerMethod<Request, Response> {
  return {
    path: `/lycheetrack.Peer/${name}`,
    streaming,
    encodeRequest: message => request.encode(message).finish(),
    decodeRequest: bytes => request.decode(bytes),
    encodeResponse: message => response.encode(message).finish(),
    decodeResponse: bytes => response.decode(bytes)
  }
}

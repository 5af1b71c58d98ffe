import type { Metadata } from '@grpc/grpc-js'
import type { Metrics } from '../../types/metrics.js'
import { peerConstants } from './constants.js'

/** Counts the bytes of peer calls by method: messages with their length prefix, and authentication metadata. */
export class PeerTrafficCounter {
  constructor (private readonly metrics: Metrics) {}

  recordSent (path: string, bytes: number): void {
    this.metrics.addCount('peer_bytes_sent_total', { method: parseMethodName(path) }, bytes)
  }

  recordReceived (path: string, bytes: number): void {
    this.metrics.addCount('peer_bytes_received_total', { method: parseMethodName(path) }, bytes)
  }

  /** Wraps `encode` so that the bytes of each message are counted as sent. */
  createSerializer<Message> (path: string, encode: (message: Message) => Uint8Array): (message: Message) => Buffer {
    return message => {
      const bytes = encode(message)
      this.recordSent(path, bytes.length + peerConstants.messagePrefixBytes)
      return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
    }
  }

  /** Wraps `decode` so that the bytes of each message are counted as received. */
  createParser<Message> (path: string, decode: (bytes: Uint8Array) => Message): (bytes: Buffer) => Message {
    return bytes => {
      this.recordReceived(path, bytes.length + peerConstants.messagePrefixBytes)
      return decode(bytes)
    }
  }

  /** Size of the metadata before header compression. */
  computeMetadataBytes (metadata: Metadata): number {
    return Object.entries(metadata.getMap()).reduce((sum, [key, value]) => sum + key.length + value.length, 0)
  }
}

function parseMethodName (path: string): string {
  return path.slice(path.lastIndexOf('/') + 1)
}

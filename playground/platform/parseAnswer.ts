import { Client } from 'undici'
import { openSocket } from '../../src/node/gateway/upstreams/openSocket.js'
import { UpstreamStandIn } from './upstreamStandIn.js'
import type { Socket } from 'node:net'

const connectTimeoutMs = 500

interface ParseOptions<S extends Socket> {
  readonly socket: S
  /** Limit of the HTTP parser for header bytes. */
  readonly maxHeaderSize?: number
  /** Called with the head of the answer and with each part of its body. */
  readonly onProgress?: () => void
}

interface ParseOutcome {
  /** Undefined when the answer was whole. */
  readonly failure: Error | undefined
  readonly parsedBytes: number
  readonly largestPieceBytes: number
}

/** Lets undici parse an upstream's answer that it gets over `socket`, and counts the bytes that it gets. */
export async function parseAnswer<S extends Socket> (answer: string, options: ParseOptions<S>): Promise<ParseOutcome> {
  const { socket, maxHeaderSize, onProgress = () => {} } = options
  const upstream = await new UpstreamStandIn('i-a', (_, upstreamSocket) => { upstreamSocket.write(answer) }).start()
  let parsedBytes = 0
  let largestPieceBytes = 0
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null
  socket.read = (size?: number) => {
    const piece = read(size)
    parsedBytes += piece?.length ?? 0
    largestPieceBytes = Math.max(largestPieceBytes, piece?.length ?? 0)
    return piece
  }
  const client = new Client(`http://${upstream.address}`, {
    maxHeaderSize,
    connect: (_, callback) => {
      const createError = (message: string, cause?: Error): Error => new Error(message, { cause })
      openSocket({ socket, address: upstream.address, timeoutMs: connectTimeoutMs, createError }, callback)
    }
  })
  const failure = await new Promise<Error | undefined>(resolve => {
    client.dispatch({ method: 'GET', path: '/' }, {
      onRequestStart: () => {},
      onResponseStart: onProgress,
      onResponseData: onProgress,
      onResponseEnd: () => { resolve(undefined) },
      onResponseError: (_, error) => { resolve(error) }
    })
  })
  await client.destroy()
  upstream.stop()
  return { failure, parsedBytes, largestPieceBytes }
}

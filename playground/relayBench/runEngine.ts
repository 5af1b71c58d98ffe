import { createServer } from 'node:http'
import type { ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

interface OpenStream {
  readonly response: ServerResponse
  readonly startMs: number
  next: number
}

/** Runs an engine process: sends one token of every open stream per interval. */
export function runEngine (servers: number, tokensPerStream: number, intervalMs: number): void {
  const streams = new Set<OpenStream>()
  const addresses: string[] = []
  for (let index = 0; index < servers; index++) {
    const server = createServer((request, response) => {
      request.resume()
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      streams.add({ response, startMs: performance.now(), next: 0 })
    })
    server.listen(0, '127.0.0.1', () => {
      addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`)
      if (addresses.length === servers) process.send?.({ addresses })
    })
  }
  setInterval(() => {
    const nowMs = performance.now()
    for (const stream of streams) {
      // Sends all tokens that are due, so that streams keep their rate even when this process is late.
      for (; stream.next < tokensPerStream && stream.startMs + stream.next * intervalMs <= nowMs; stream.next++) {
        stream.response.write(`data: {"o":${stream.next},"t":"digest.${stream.next} "}\n\n`)
      }
      if (stream.next < tokensPerStream) continue
      stream.response.end(`data: {"done":true,"count":${tokensPerStream}}\n\n`)
      streams.delete(stream)
    }
  }, 2)
}

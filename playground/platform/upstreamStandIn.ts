import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { StandInRequest } from './standInRequest.js'

type AnswerHandler = (request: StandInRequest, socket: Socket) => void

/** Stand-in for an upstream on a raw socket, so that a test can answer with any bytes, malformed ones included. */
export class UpstreamStandIn {
  readonly requests: StandInRequest[] = []
  connectionCount = 0
  address = ''
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  constructor (readonly id: string, public answer: AnswerHandler) {
    this.server = createServer(socket => { this.onConnection(socket) })
  }

  async start (): Promise<this> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${(this.server.address() as { port: number }).port}`
    return this
  }

  stop (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private onConnection (socket: Socket): void {
    this.connectionCount++
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('error', () => {})
    let text = ''
    socket.on('data', chunk => {
      text += chunk.toString('latin1')
      for (;;) {
        const end = text.indexOf('\r\n\r\n')
        if (end < 0) return
        const request = parseRequest(text.slice(0, end))
        const length = Number(request.headers['content-length'] ?? 0)
        if (text.length < end + 4 + length) return
        const completeRequest = { ...request, body: text.slice(end + 4, end + 4 + length) }
        text = text.slice(end + 4 + length)
        this.requests.push(completeRequest)
        this.answer(completeRequest, socket)
      }
    })
  }
}

function parseRequest (head: string): Omit<StandInRequest, 'body'> {
  const [line = '', ...lines] = head.split('\r\n')
  const [method = '', path = ''] = line.split(' ')
  const headers: Record<string, string> = {}
  for (const field of lines) {
    const colon = field.indexOf(':')
    headers[field.slice(0, colon).toLowerCase()] = field.slice(colon + 1).trim()
  }
  return { method, path, headers }
}

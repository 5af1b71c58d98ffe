// Stand-in of a runner's process: HTTP/1.1 on plain sockets, so that a case can send any bytes.
import { createServer } from 'node:net'

export class Server {
  sockets = new Set()

  /** `answer` gets each complete request with its connection. */
  constructor (host, answer) {
    this.host = host
    this.answer = answer
    this.server = createServer(socket => { this.accept(socket) })
  }

  async start (port = 0) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, this.host, resolve)
    })
    this.address = `${this.host}:${this.server.address().port}`
    return this
  }

  stop () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** Ends as a process that crashes: all connections are reset, and new ones are refused. */
  crash () {
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  accept (socket) {
    this.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('error', () => {})
    let bytes = Buffer.alloc(0)
    socket.on('data', chunk => {
      bytes = Buffer.concat([bytes, chunk])
      for (;;) {
        const end = bytes.indexOf('\r\n\r\n')
        if (end < 0) return
        const [line, ...fields] = bytes.subarray(0, end).toString('latin1').split('\r\n')
        const [method, path] = line.split(' ')
        const headers = Object.fromEntries(fields.map(field => {
          const colon = field.indexOf(':')
          return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()]
        }))
        const length = Number(headers['content-length'] ?? 0)
        if (bytes.length < end + 4 + length) return
        const body = bytes.subarray(end + 4, end + 4 + length).toString()
        bytes = bytes.subarray(end + 4 + length)
        this.answer({ method, path, headers, body }, socket)
      }
    })
  }
}

/** Builds a whole answer with a length. */
export function buildAnswer (status, headers, body) {
  const fields = { ...headers, 'Content-Length': Buffer.byteLength(body) }
  const lines = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}: ${value}\r\n`)
  return `HTTP/1.1 ${status} X\r\n${lines.join('')}\r\n${body}`
}

export function send (socket, bytes) {
  if (socket.writable) socket.write(bytes)
}

import { createServer } from 'node:net'

/** Stand-in of a server (model runner or plain service): reads requests from raw connections and hands them to `answer`. */
export class UpstreamStandIn {
  requests = []
  sockets = new Set()

  constructor (id, answer) {
    this.id = id
    this.answer = answer
  }

  async start (address = '127.0.0.1:0') {
    const [host, port] = address.split(':')
    this.server = createServer(socket => { this.accept(socket) })
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(port), host, resolve)
    })
    this.address = `${host}:${this.server.address().port}`
    return this
  }

  stop () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** Ends as a crashed process does: connections are reset, new ones are refused. */
  crash () {
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  accept (socket) {
    socket.setNoDelay(true)
    socket.setMaxListeners(0)
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { this.sockets.delete(socket) })
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
        const body = bytes.subarray(end + 4, end + 4 + length)
        bytes = bytes.subarray(end + 4 + length)
        const request = { method, path, headers, body, id: headers['x-request-id'], atMs: performance.now() }
        this.requests.push(request)
        this.answer(request, socket, this)
      }
    })
  }
}

/** A whole answer with the id and the signature that servers add. */
export function buildAnswer ({ id }, { status = 200, headers = '', body = 'ok', isSigned = true } = {}) {
  const signature = isSigned ? `X-Response-Signature: sig.${id}\r\n` : ''
  return `HTTP/1.1 ${status} Status\r\nX-Request-Id: ${id}\r\n${signature}${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

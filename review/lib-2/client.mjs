import { connect } from 'node:net'

/** Builds the bytes of a client's request. */
export function buildRequest (id, path, { method = 'POST', body = '', timeLeftMs = 6000, headers = {} } = {}) {
  const fields = {
    Host: 'pule25.example',
    'X-Request-Id': id,
    'X-Time-Remaining': String(timeLeftMs),
    ...method === 'GET' ? {} : { 'Content-Length': String(Buffer.byteLength(body)) },
    ...headers
  }
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`)
  return Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`, 'latin1')
}

/** One connection of a client, which sends one request at a time and keeps the connection. */
export class ClientConnection {
  received = Buffer.alloc(0)
  isClosed = false
  hasEnded = false
  error = undefined

  constructor (address) {
    const [host, port] = address.split(':')
    this.socket = connect({ host, port: Number(port), noDelay: true })
    this.socket.on('data', chunk => {
      this.received = Buffer.concat([this.received, chunk])
      this.onChange?.()
    })
    this.socket.on('end', () => { this.hasEnded = true })
    this.socket.on('error', error => { this.error = error.code })
    this.socket.on('close', () => {
      this.isClosed = true
      this.onChange?.()
    })
  }

  close () {
    this.socket.destroy()
  }

  /**
   * Sends a request and resolves to what the client gets: `status`, `headers`, `body` and `isComplete`; status 0 when the
   * connection ends without an answer, -1 when nothing came within the time.
   */
  async request (id, path, options = {}) {
    const { timeLeftMs = 6000 } = options
    const sentAtMs = performance.now()
    this.socket.write(buildRequest(id, path, options))
    return await new Promise(resolve => {
      const end = result => {
        clearTimeout(timer)
        this.onChange = undefined
        resolve({ id, path, sentAtMs, tookMs: Math.round(performance.now() - sentAtMs), error: this.error, ...result })
      }
      const timer = setTimeout(() => {
        const partial = parseAnswer(this.received, this.isClosed)
        end({ status: -1, body: partial?.body ?? '', isComplete: false })
        this.close()
      }, timeLeftMs + 1000)
      this.onChange = () => {
        const answer = parseAnswer(this.received, this.isClosed && this.error === undefined)
        if (answer?.isComplete) {
          this.received = this.received.subarray(answer.bytes)
          return end(answer)
        }
        if (this.isClosed) end(answer ?? { status: 0, body: '', isComplete: false })
      }
      this.onChange()
    })
  }
}

/** Sends a request on a connection of its own. */
export async function sendOnce (address, id, path, options = {}) {
  const connection = new ClientConnection(address)
  const answer = await connection.request(id, path, { ...options, headers: { Connection: 'close', ...options.headers } })
  connection.close()
  return answer
}

function parseAnswer (bytes, hasEnded) {
  let start = 0
  for (;;) {
    const end = bytes.indexOf('\r\n\r\n', start)
    if (end < 0) return undefined
    const [line, ...fields] = bytes.subarray(start, end).toString('latin1').split('\r\n')
    const status = Number(line.split(' ')[1])
    if (status < 200) {
      start = end + 4
      continue
    }
    const headers = {}
    for (const field of fields) {
      const colon = field.indexOf(':')
      headers[field.slice(0, colon).toLowerCase()] = field.slice(colon + 1).trim()
    }
    return { status, headers, ...parseBody(bytes, end + 4, headers, hasEnded) }
  }
}

function parseBody (bytes, start, headers, hasEnded) {
  if (headers['transfer-encoding'] === 'chunked') {
    let body = ''
    for (let at = start; ;) {
      const end = bytes.indexOf('\r\n', at)
      const size = end < 0 ? NaN : parseInt(bytes.subarray(at, end).toString('latin1'), 16)
      if (Number.isNaN(size) || bytes.length < end + 2 + size + 2) return { body, isComplete: false }
      body += bytes.subarray(end + 2, end + 2 + size).toString('latin1')
      at = end + 2 + size + 2
      if (size === 0) return { body, isComplete: true, bytes: at }
    }
  }
  const length = headers['content-length'] === undefined ? undefined : Number(headers['content-length'])
  const body = bytes.subarray(start, length === undefined ? undefined : start + length).toString('latin1')
  if (length === undefined) return { body, isComplete: hasEnded, bytes: bytes.length }
  return { body, isComplete: bytes.length >= start + length, bytes: start + length }
}

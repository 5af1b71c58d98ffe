import { createServer, request as sendRequest } from 'node:http'

/**
 * Passes the calls of one host on to the store and changes the values that it reads, so that this host reaches some addresses
 * by way of links that a case cuts. `translate` gets the key and the value as text.
 */
export class StoreView {
  constructor (storeAddress, translate) {
    this.storeAddress = storeAddress
    this.translate = translate
  }

  async start () {
    this.server = createServer((request, response) => { this.pass(request, response) })
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${this.server.address().port}`
    return this
  }

  stop () {
    this.server.close()
    this.server.closeAllConnections()
  }

  pass (request, response) {
    const [host, port] = this.storeAddress.split(':')
    const outgoing = sendRequest({ host, port, method: request.method, path: request.url, headers: request.headers }, incoming => {
      const chunks = []
      incoming.on('data', chunk => { chunks.push(chunk) })
      incoming.on('end', () => {
        const body = this.translateBody(Buffer.concat(chunks).toString('utf8'))
        const { 'content-length': _length, 'transfer-encoding': _encoding, connection: _connection, ...headers } = incoming.headers
        response.writeHead(incoming.statusCode, { ...headers, 'content-length': Buffer.byteLength(body) })
        response.end(body)
      })
      incoming.on('error', () => { response.destroy() })
    })
    outgoing.on('error', () => { response.destroy() })
    response.on('close', () => { if (!response.writableFinished) outgoing.destroy() })
    request.pipe(outgoing)
  }

  translateBody (text) {
    if (text === '') return text
    const visit = value => {
      if (Array.isArray(value)) return value.map(visit)
      if (typeof value !== 'object' || value === null) return value
      const copy = Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, visit(inner)]))
      if (typeof copy.key === 'string' && typeof copy.value === 'string') {
        copy.value = Buffer.from(this.translate(copy.key, Buffer.from(copy.value, 'base64').toString('utf8'))).toString('base64')
      }
      return copy
    }
    return JSON.stringify(visit(JSON.parse(text)))
  }
}

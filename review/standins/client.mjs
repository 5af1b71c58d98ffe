// Stand-in of a client: sends requests over kept connections, one at a time on each.
import { Agent, request as sendRequest } from 'node:http'
import { randomBytes } from 'node:crypto'

export class Client {
  constructor ({ hostName, apiKey }) {
    Object.assign(this, { hostName, apiKey, agent: new Agent({ keepAlive: true }) })
  }

  stop () {
    this.agent.destroy()
  }

  /** Sends a request with an id of its own. Resolves to what was received, and whether that was a whole answer. */
  async send ({ address, method = 'POST', path, headers = {}, body = '', timeLeftMs, id = randomBytes(8).toString('hex'), agent = this.agent, onResponse }) {
    const [host, port] = address.split(':')
    const sentAtMs = performance.now()
    return await new Promise(resolve => {
      const chunks = []
      let response
      const end = (isComplete, error) => {
        clearTimeout(timer)
        const bytes = Buffer.concat(chunks)
        resolve({
          id,
          status: response?.statusCode,
          headers: response?.headers ?? {},
          body: bytes.toString('latin1'),
          isComplete,
          error,
          elapsedMs: Math.round(performance.now() - sentAtMs)
        })
      }
      const request = sendRequest({
        host,
        port,
        method,
        path,
        agent,
        headers: {
          Host: this.hostName,
          Authorization: `Token ${this.apiKey}`,
          'X-Request-Id': id,
          'X-Time-Remaining': String(timeLeftMs),
          'Content-Length': Buffer.byteLength(body),
          ...headers
        }
      })
      const timer = setTimeout(() => { request.destroy(new Error('deadline')) }, timeLeftMs)
      request.on('response', message => {
        response = message
        onResponse?.(message)
        message.on('data', chunk => { chunks.push(chunk) })
        message.on('end', () => { end(message.complete) })
        message.on('error', error => { end(false, error.message) })
      })
      request.on('error', error => { end(false, error.message) })
      request.end(body)
    })
  }
}

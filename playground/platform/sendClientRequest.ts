import { request as sendRequest } from 'node:http'
import type { ClientAnswer } from './clientAnswer.js'
import type { ClientRequestOptions } from './clientRequestOptions.js'

/** Sends a client's request to a host on a new connection. Rejects when there is no answer. */
export async function sendClientRequest (
  address: string,
  id: string,
  path: string,
  { method = 'GET', headers = {}, body, signal, readDelayMs = 0 }: ClientRequestOptions = {}
): Promise<ClientAnswer> {
  const [host, port] = address.split(':')
  return await new Promise((resolve, reject) => {
    const request = sendRequest({
      host,
      port,
      method,
      path,
      signal,
      agent: false,
      headers: { host: 'shop.example', 'x-request-id': id, 'x-time-remaining': '2000', ...headers }
    }, response => {
      const chunks: Buffer[] = []
      const end = (): void => {
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
          isComplete: response.complete
        })
      }
      const read = (): void => { response.on('data', (chunk: Buffer) => chunks.push(chunk)) }
      if (readDelayMs > 0) setTimeout(read, readDelayMs)
      else read()
      response.on('end', end)
      response.on('error', end)
    })
    request.on('error', reject)
    request.end(body)
  })
}

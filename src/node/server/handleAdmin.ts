import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AdminHandler } from '../../types/adminHandler.js'
import { RequestError } from '../requests/requestError.js'
import { isOperatorToken } from './isOperatorToken.js'
import { parseJsonBody } from './parseJsonBody.js'
import { readBody } from './readBody.js'
import { writeJson } from './writeJson.js'

interface AdminOptions {
  readonly admin: AdminHandler
  readonly operatorToken: string
  readonly maxBodyBytes: number
  readonly bodyTimeoutMs: number
}

/** Checks the operator token and hands the call to the administration API. Rejects with `LycheetrackError`. */
export async function handleAdmin (options: AdminOptions, request: IncomingMessage, url: URL, response: ServerResponse): Promise<void> {
  if (!isOperatorToken(request.headers.authorization, options.operatorToken)) {
    throw new RequestError('unauthorized', 'the operator token is required', 401, 'not_run')
  }
  const text = await readBody(request, options.maxBodyBytes, options.bodyTimeoutMs)
  const headers = Object.fromEntries(Object.entries(request.headers).map(([name, value]) => [name, String(value)]))
  const answer = await options.admin.handle({
    method: request.method ?? 'GET',
    path: url.pathname,
    headers,
    query: Object.fromEntries(url.searchParams),
    body: text === '' ? undefined : parseJsonBody(text)
  })
  const { body } = answer
  if (typeof body === 'object' && body !== null && Symbol.asyncIterator in body) {
    await writeLines(response, answer.status, answer.headers ?? {}, body as AsyncIterable<unknown>)
    return
  }
  const contentType = answer.headers?.['content-type']
  if (typeof body === 'string' && contentType !== undefined && !contentType.includes('json')) {
    response.writeHead(answer.status, answer.headers)
    response.end(body)
  } else if (body === undefined) {
    response.writeHead(answer.status, answer.headers)
    response.end()
  } else writeJson(response, answer.status, body, answer.headers)
}

async function writeLines (response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, lines: AsyncIterable<unknown>): Promise<void> {
  const iterator = lines[Symbol.asyncIterator]()
  const closed = new Promise<void>(resolve => response.on('close', resolve))
  // A watch has no end of its own: it stops when the operator leaves, even while no line comes.
  closed.then(async () => await iterator.return?.()).catch(() => {})
  response.writeHead(status, { 'content-type': 'application/x-ndjson', ...headers })
  response.flushHeaders()
  while (!response.destroyed) {
    const next = await Promise.race([iterator.next(), closed])
    if (next === undefined || next.done === true) break
    const isFull = !response.write(JSON.stringify(next.value) + '\n')
    if (isFull) await Promise.race([new Promise(resolve => response.once('drain', resolve)), closed])
  }
  response.end()
}

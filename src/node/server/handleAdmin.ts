import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AdminHandler } from '../../types/adminHandler.js'
import type { AdminRequest } from '../../types/adminRequest.js'
import type { SharedMemory } from '../gateway/memory/sharedMemory.js'
import { RequestError } from '../requests/requestError.js'
import { isOperatorToken } from './isOperatorToken.js'
import { parseJsonBody } from './parseJsonBody.js'
import { readBody } from './readBody.js'
import { writeJson } from './writeJson.js'

const DEFAULT_OPERATOR = 'operator'

interface AdminOptions {
  readonly admin: AdminHandler
  readonly operatorToken: string
  readonly maxBodyBytes: number
  readonly bodyTimeoutMs: number
  readonly bodyMemory: SharedMemory
}

/** Checks the operator token and passes the call to the administration API. Rejects with `LycheetrackError`. */
export async function handleAdmin (options: AdminOptions, request: IncomingMessage, url: URL, response: ServerResponse): Promise<void> {
  if (!isOperatorToken(request.headers.authorization, options.operatorToken)) {
    throw new RequestError('unauthorized', 'the operator token is required', 401, 'not_run')
  }
  const text = await readBody(request, {
    maxBytes: options.maxBodyBytes,
    timeoutMs: options.bodyTimeoutMs,
    memory: options.bodyMemory,
    group: 'operators'
  })
  const closed = new AbortController()
  response.on('close', () => closed.abort())
  const adminResponse = await options.admin.handle({
    method: (request.method ?? 'GET') as AdminRequest['method'],
    path: url.pathname,
    query: Object.fromEntries(url.searchParams),
    ifMatch: request.headers['if-match'],
    body: text === '' ? undefined : parseJsonBody(text),
    operator: parseOperatorName(request.headers['x-operator']),
    signal: closed.signal
  })
  if (adminResponse.body.type === 'json') return writeJson(response, adminResponse.status, adminResponse.body.value, adminResponse.headers)
  await writeLines(response, adminResponse.status, adminResponse.headers ?? {}, adminResponse.body.lines)
}

/** Parses the operator name. All operators share one token; the name only labels their changes in the history. */
function parseOperatorName (header: string | readonly string[] | undefined): string {
  return typeof header === 'string' && /^[\w.@-]{1,64}$/.test(header) ? header : DEFAULT_OPERATOR
}

async function writeLines (response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, lines: AsyncIterable<unknown>): Promise<void> {
  const iterator = lines[Symbol.asyncIterator]()
  const closed = new Promise<void>(resolve => response.on('close', resolve))
  // A watch never ends by itself: it is stopped when the operator disconnects, even while no line arrives.
  closed.then(async () => await iterator.return?.()).catch(() => {})
  response.writeHead(status, { 'content-type': 'application/x-ndjson', ...headers })
  response.flushHeaders()
  while (!response.destroyed) {
    const next = await Promise.race([iterator.next(), closed])
    if (next === undefined || next.done === true) break
    const isBufferFull = !response.write(JSON.stringify(next.value) + '\n')
    if (isBufferFull) await Promise.race([new Promise(resolve => response.once('drain', resolve)), closed])
  }
  response.end()
}

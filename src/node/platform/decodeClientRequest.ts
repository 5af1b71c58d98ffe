import { buildOwnText } from '../../shared/buildOwnText.js'
import { platformConstants } from './constants.js'
import { headerNames } from './headerNames.js'
import type { ClientRequest } from '../gateway/model/clientRequest.js'
import type { IncomingMessage } from 'node:http'
import type { PromptPart } from '../gateway/model/promptPart.js'

/** Headers that apply to one connection only, or that only the gateway may send to upstreams. */
const unforwardedHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'content-length', 'host', 'expect', headerNames.authorization, headerNames.account, headerNames.expectedInstance, headerNames.timeLeft,
  headerNames.priority, headerNames.inputs, headerNames.lastEventId, 'x-hold', 'x-pin-milliseconds', 'x-cache-backup', 'x-expected-version',
  'kv-from', 'kv-fetch'
])

/** Scheme and authority of a target in absolute form. */
const absoluteForm = /^https?:\/\/([^/?#]*)/i

/**
 * Decodes the head of a client request; undefined when it has no request id. The authority of a target in absolute form
 * replaces the Host header (RFC 9112, section 3.2.2).
 */
export function decodeClientRequest (request: IncomingMessage): ClientRequest | undefined {
  const { headers } = request
  const id = headers[headerNames.requestId]
  if (typeof id !== 'string' || id === '') return undefined
  const { target, authority } = parseTarget(request.url ?? '/')
  const [promptTokens = 0, maxOutputTokens = 0] = parseNumbers(headers[headerNames.tokenCounts])
  return {
    id,
    method: request.method ?? 'GET',
    target,
    hostName: (authority ?? headers.host ?? '').replace(/:\d+$/, '').toLowerCase(),
    timeLeftMs: parseNumbers(headers[headerNames.timeLeft])[0],
    apiKey: parseApiKey(headers.authorization),
    lastEventId: headers[headerNames.lastEventId] as string | undefined,
    resumedId: headers[headerNames.resumedId] as string | undefined,
    promptParts: parsePromptParts(headers[headerNames.promptParts]),
    promptTokens,
    maxOutputTokens,
    pieceCounts: parsePieceCounts(headers[headerNames.pieceCounts]),
    pieceKey: String(headers[headerNames.pieceKey] ?? ''),
    forwardedHeaders: listForwardedHeaders(request)
  }
}

/** Parses the target of a request to its origin form; `authority` is set when it was in absolute form. */
function parseTarget (url: string): { readonly target: string, readonly authority?: string } {
  const match = absoluteForm.exec(url)
  if (match === null) return { target: url }
  const target = url.slice(match[0].length)
  return { target: target.startsWith('/') ? target : `/${target}`, authority: match[1]!.replace(/^.*@/, '') }
}

function parseApiKey (authorization: string | undefined): string | undefined {
  return authorization === undefined ? undefined : /^Token\s+(\S+)\s*$/i.exec(authorization)?.[1] ?? ''
}

function parseNumbers (value: string | readonly string[] | undefined): readonly number[] {
  if (typeof value !== 'string' || value === '') return []
  const numbers = value.split(',').map(Number)
  return numbers.every(number => Number.isFinite(number) && number >= 0) ? numbers : []
}

/** Memory is reserved for each piece, so a count beyond any real one must not be taken at its word. */
function parsePieceCounts (value: string | readonly string[] | undefined): readonly number[] {
  const counts = parseNumbers(value)
  return counts.every(count => Number.isInteger(count) && count <= platformConstants.maxPieceCount) ? counts : []
}

function parsePromptParts (value: string | readonly string[] | undefined): readonly PromptPart[] {
  if (typeof value !== 'string') return []
  return value.split(',').map(entry => {
    const [id = '', tokens] = entry.trim().split(':')
    // Ids are remembered long after the request.
    return { id: buildOwnText(id), tokens: Number(tokens) || 0 }
  })
}

function listForwardedHeaders (request: IncomingMessage): readonly string[] {
  const connectionOptions = request.headers.connection?.toLowerCase().split(',').map(name => name.trim()) ?? []
  const { rawHeaders } = request
  const forwarded: string[] = []
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toLowerCase()
    if (!unforwardedHeaders.has(name) && !connectionOptions.includes(name)) forwarded.push(rawHeaders[i]!, rawHeaders[i + 1]!)
  }
  return forwarded
}

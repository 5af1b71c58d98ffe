import { decodeBrittleLimit } from './decodeBrittleLimit.js'
import { decodeColdMs } from './decodeColdMs.js'
import { headerNames } from './headerNames.js'
import type { UpstreamResponseHead } from '../gateway/model/upstreamResponseHead.js'
import type { UpstreamLoad } from '../gateway/model/upstreamLoad.js'

type Headers = Readonly<Record<string, string | string[] | undefined>>

/** Statuses with which an upstream turns requests away; `Retry-After` then states for how long. */
const turnedAwayStatuses: ReadonlySet<number> = new Set([429, 503])
const misdirectedStatus = 421
const inputsGoneStatus = 409
/** Responses with these statuses have no body. */
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304])
const eventStreamType = 'text/event-stream'
const unforwardedHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length',
  headerNames.load, headerNames.limit, headerNames.leaving, headerNames.cold, headerNames.brittle,
  headerNames.notRun
])

/** Decodes the head of an upstream's response. */
export function decodeUpstreamResponse (status: number, headers: Headers): UpstreamResponseHead {
  const length = headers['content-length']
  const isMisdirected = status === misdirectedStatus
  return {
    status,
    requestId: findHeader(headers, headerNames.requestId),
    isNotRun: headers[headerNames.notRun] !== undefined || isMisdirected,
    areInputsGone: headers[headerNames.notRun] !== undefined && status === inputsGoneStatus,
    isMisdirected,
    closesConnection: findHeader(headers, 'connection')?.toLowerCase().includes('close') === true,
    isLeaving: findHeader(headers, headerNames.leaving)?.trim() === '1',
    isSigned: headers[headerNames.signature] !== undefined,
    isFramed: length !== undefined || headers['transfer-encoding'] !== undefined || bodylessStatuses.has(status),
    isEventStream: findHeader(headers, 'content-type')?.trim().toLowerCase().startsWith(eventStreamType),
    contentLength: typeof length === 'string' ? Number(length) : undefined,
    load: parseLoad(findHeader(headers, headerNames.load)),
    requestLimit: parseLimit(findHeader(headers, headerNames.limit)),
    backoffMs: turnedAwayStatuses.has(status) ? parseBackoffMs(findHeader(headers, headerNames.retryAfter)) : undefined,
    coldMs: decodeColdMs(parseCount(findHeader(headers, headerNames.cold))),
    brittleLimit: decodeBrittleLimit(findHeader(headers, headerNames.brittle)),
    forwardedHeaders: listForwardedHeaders(headers)
  }
}

function findHeader (headers: Headers, name: string): string | undefined {
  const value = headers[name]
  return typeof value === 'string' ? value : value?.[0]
}

/** The fourth number states how long work takes in percent of the usual duration. */
function parseLoad (value: string | undefined): UpstreamLoad | undefined {
  if (value === undefined) return undefined
  const [running = 0, waiting = 0, slots = 1, percent = 100] = value.split(',').map(Number)
  if (![running, waiting, slots, percent].every(Number.isFinite)) return undefined
  return { running, waiting, slots, slowdown: Math.max(percent, 1) / 100 }
}

function parseLimit (value: string | undefined): number | 'unreadable' | undefined {
  if (value === undefined) return undefined
  return /^\d+(\.\d+)?$/.test(value.trim()) ? Number(value) : 'unreadable'
}

/** The number; the text itself when it is none. */
function parseCount (value: string | undefined): number | string | undefined {
  return value !== undefined && /^\d+(\.\d+)?$/.test(value.trim()) ? Number(value) : value
}

/** Upstreams state seconds. A date cannot be compared with the clock of this host. */
function parseBackoffMs (value: string | undefined): number | 'unreadable' | undefined {
  if (value === undefined) return undefined
  return /^\d+(\.\d+)?$/.test(value.trim()) ? Number(value) * 1000 : 'unreadable'
}

function listForwardedHeaders (headers: Headers): readonly string[] {
  const forwarded: string[] = []
  for (const name in headers) {
    if (unforwardedHeaders.has(name)) continue
    const value = headers[name]
    if (typeof value === 'string') forwarded.push(name, value)
    else for (const item of value ?? []) forwarded.push(name, item)
  }
  return forwarded
}

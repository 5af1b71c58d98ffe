import type { StandInRequest } from './standInRequest.js'

interface AnswerOptions {
  readonly status?: number
  readonly body?: string
  readonly headers?: Readonly<Record<string, string>>
}

/** Builds a complete HTTP response of an upstream to the request, with a response signature. */
export function buildStandInAnswer (request: StandInRequest, { status = 200, body = 'ok', headers = {} }: AnswerOptions = {}): string {
  const fields = {
    'X-Request-Id': request.headers['x-request-id'] ?? '',
    'X-Response-Signature': 'sig',
    'Content-Length': String(Buffer.byteLength(body)),
    ...headers
  }
  const lines = Object.entries(fields).filter(([, value]) => value !== '').map(([name, value]) => `${name}: ${value}`)
  return `HTTP/1.1 ${status} X\r\n${lines.join('\r\n')}\r\n\r\n${body}`
}

import type { ServerResponse } from 'node:http'

/** Responds with JSON, unless a response was already sent or the connection is closed. */
export function writeJson (response: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
  if (response.headersSent || response.destroyed) return
  const body = Buffer.from(JSON.stringify(value))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length, ...headers })
  response.end(body)
}

import type { ServerResponse } from 'node:http'
import type { EngineStream } from './engineStream.js'

const keepaliveIntervalMs = 500

/** One HTTP response that sends the tokens of a stream from an offset on as server-sent events. */
export class StreamResponse {
  private lastWriteMs: number

  constructor (readonly stream: EngineStream, private readonly response: ServerResponse, private offset: number, nowMs: number, private readonly disconnectAtToken: number | undefined) {
    this.lastWriteMs = nowMs
    response.writeHead(200, { 'Content-Type': 'text/event-stream', 'Cache-Control': 'no-store' })
    response.flushHeaders()
  }

  get isClosed (): boolean {
    return this.response.destroyed || this.response.writableEnded
  }

  /** Sends the tokens produced since the last call in one write; closes the connection at `disconnectAtToken`. */
  sendProducedTokens (nowMs: number): void {
    const { stream, response } = this
    const isDisconnectDue = this.disconnectAtToken !== undefined && stream.producedTokens >= this.disconnectAtToken
    const end = isDisconnectDue ? Math.max(this.offset, this.disconnectAtToken ?? 0) : stream.producedTokens
    let text = stream.renderTokens(this.offset, end)
    this.offset = Math.max(this.offset, end)
    if (isDisconnectDue) {
      if (text !== '') response.write(text, () => response.destroy())
      else response.destroy()
      return
    }
    if (stream.state === 'completed') text += `data: {"done":true,"count":${stream.totalTokens}}\n\n`
    if (text !== '') this.lastWriteMs = nowMs
    if (stream.isEnded) response.end(stream.state === 'cancelled' ? text + 'data: {"cancelled":true}\n\n' : text)
    else if (text !== '') response.write(text)
  }

  sendKeepalive (nowMs: number): void {
    if (nowMs - this.lastWriteMs < keepaliveIntervalMs) return
    this.lastWriteMs = nowMs
    this.response.write(': keepalive\n\n')
  }
}

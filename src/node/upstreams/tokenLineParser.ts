import { upstreamConstants } from './constants.js'
import type { TokenLineSink } from './tokenLineSink.js'

const newlineByte = 10

/**
 * Parses the SSE lines of an engine stream into tokens. Lines in the usual format are matched by one regular
 * expression. Tokens remain JSON string literals, so that relaying them needs no decoding or encoding.
 */
export class TokenLineParser {
  private partialLine: Buffer | undefined
  private readonly tokenLine = /data: \{"o":(\d+),"t":("[^"\\\u0000-\u001f]*")\}\r?\n(?:\r?\n)?/y // eslint-disable-line no-control-regex

  constructor (private readonly sink: TokenLineSink) {}

  /** Parses the next bytes of the stream. Returns false when an unterminated line exceeds the size limit. */
  receive (chunk: Buffer): boolean {
    const bytes = this.partialLine === undefined ? chunk : Buffer.concat([this.partialLine, chunk])
    const end = bytes.lastIndexOf(newlineByte) + 1
    // Copied because the socket may reuse the memory of the chunk.
    this.partialLine = end === bytes.length ? undefined : Buffer.from(bytes.subarray(end))
    if (end > 0) this.parseLines(bytes.toString('utf8', 0, end))
    return (this.partialLine?.length ?? 0) <= upstreamConstants.maxLineBytes
  }

  private parseLines (text: string): void {
    const pattern = this.tokenLine
    let position = 0
    while (position < text.length) {
      pattern.lastIndex = position
      const match = pattern.exec(text)
      if (match !== null) {
        this.sink.onToken(Number(match[1]), match[2]!)
        position = pattern.lastIndex
        continue
      }
      const newline = text.indexOf('\n', position)
      this.parseLine(text.slice(position, newline).trimEnd())
      position = newline + 1
    }
  }

  private parseLine (line: string): void {
    if (line === '' || line.startsWith(':')) return
    if (!line.startsWith('data:')) {
      this.sink.onUnknownLine(line)
      return
    }
    let message: { o?: unknown, t?: unknown, done?: unknown, count?: unknown } | null
    try {
      message = JSON.parse(line.slice(5)) as typeof message
    } catch {
      message = null
    }
    if (typeof message?.o === 'number' && typeof message.t === 'string') this.sink.onToken(message.o, JSON.stringify(message.t))
    else if (message?.done === true && typeof message.count === 'number') this.sink.onDone(message.count)
    else this.sink.onUnknownLine(line)
  }
}

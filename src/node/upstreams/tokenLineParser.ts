import { ByteList } from '../../shared/byteList.js'
import { upstreamConstants } from './constants.js'
import type { TokenLineSink } from './tokenLineSink.js'

const newlineByte = 10

/**
 * Parses the SSE lines of an engine stream into tokens. Lines in the usual format are matched by one regular
 * expression. Tokens remain JSON string literals, so that relaying them needs no decoding or encoding.
 */
export class TokenLineParser {
  private readonly partialLine = new ByteList()
  private readonly tokenLine = /data: \{"o":(\d+),"t":("[^"\\\u0000-\u001f]*")\}\r?\n(?:\r?\n)?/y // eslint-disable-line no-control-regex

  constructor (private readonly sink: TokenLineSink) {}

  /** Parses the next bytes of the stream. Returns false when an unterminated line exceeds the size limit. */
  receive (chunk: Buffer): boolean {
    const end = chunk.lastIndexOf(newlineByte) + 1
    if (end > 0) this.parseLines(this.takeLines(chunk.subarray(0, end)))
    // Copied because the socket may reuse the memory of the chunk.
    if (end < chunk.length) this.partialLine.add(Buffer.from(chunk.subarray(end)))
    return this.partialLine.byteLength <= upstreamConstants.maxLineBytes
  }

  /** Bytes of the line that is not complete. */
  countPartialBytes (): number {
    return this.partialLine.byteLength
  }

  private takeLines (rest: Buffer): string {
    if (this.partialLine.byteLength === 0) return rest.toString('utf8')
    this.partialLine.add(rest)
    const text = this.partialLine.buildBuffer().toString('utf8')
    this.partialLine.release()
    return text
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

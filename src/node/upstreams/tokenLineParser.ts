import { upstreamConstants } from './constants.js'
import type { TokenLineSink } from './tokenLineSink.js'

const newlineByte = 10

/**
 * Splits an engine stream into tokens. Lines of the usual form are matched by one regular expression;
 * tokens stay JSON literals, so that the relay neither decodes nor encodes them.
 */
export class TokenLineParser {
  private rest: Buffer | undefined
  private readonly tokenLine = /data: \{"o":(\d+),"t":("[^"\\\u0000-\u001f]*")\}\r?\n(?:\r?\n)?/y // eslint-disable-line no-control-regex

  constructor (private readonly sink: TokenLineSink) {}

  /** Takes the next bytes of the stream. False when a line grows beyond the bound. */
  receive (chunk: Buffer): boolean {
    const bytes = this.rest === undefined ? chunk : Buffer.concat([this.rest, chunk])
    const end = bytes.lastIndexOf(newlineByte) + 1
    // The remainder is copied because the socket owns the bytes of the chunk.
    this.rest = end === bytes.length ? undefined : Buffer.from(bytes.subarray(end))
    if (end > 0) this.parseLines(bytes.toString('utf8', 0, end))
    return (this.rest?.length ?? 0) <= upstreamConstants.maxLineBytes
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

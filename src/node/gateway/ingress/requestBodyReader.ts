import { ByteList } from '../../../shared/byteList.js'
import type { BodyOutcome } from './bodyOutcome.js'
import type { IncomingMessage } from 'node:http'

interface ReaderOptions {
  readonly maxBytes: number
  /** Time that the body may take. */
  readonly timeoutMs: number
  /** Takes memory for bytes without a stated length; false when there is none. */
  readonly admitBytes: (bytes: number) => boolean
}

/** Reads the body of a client request, in the time and memory that it may take. */
export class RequestBodyReader {
  private readonly body = new ByteList()
  private isEnded = false
  private timer: NodeJS.Timeout | undefined
  private resolve: (outcome: BodyOutcome) => void = () => {}

  constructor (private readonly message: IncomingMessage, private readonly options: ReaderOptions) {}

  /** Resolves to the outcome. What arrives after another outcome than the body is left to the caller. */
  async read (): Promise<BodyOutcome> {
    const { message } = this
    return await new Promise(resolve => {
      this.resolve = resolve
      this.timer = setTimeout(() => { this.end('late') }, Math.max(this.options.timeoutMs, 0))
      message.on('data', this.onData)
      message.once('end', () => { this.end(this.body.buildBuffer()) })
      message.once('close', () => { this.end('incomplete') })
      message.once('error', () => { this.end('incomplete') })
    })
  }

  /** Ends the reading because the host stops. */
  stop (): void {
    this.end('stopped')
  }

  private readonly onData = (chunk: Buffer): void => {
    if (this.body.byteLength + chunk.length > this.options.maxBytes) return this.end('too-large')
    if (!this.options.admitBytes(chunk.length)) return this.end('no-memory')
    this.body.add(chunk)
  }

  private end (outcome: BodyOutcome): void {
    if (this.isEnded) return
    this.isEnded = true
    clearTimeout(this.timer)
    this.message.off('data', this.onData)
    this.body.release()
    this.resolve(outcome)
  }
}

import { ByteList } from '../../shared/byteList.js'
import { HttpCallError } from './httpCallError.js'
import { keyValueConstants } from './constants.js'
import { OversizedAnswerError } from '../gateway/upstreams/oversizedAnswerError.js'
import type { Dispatcher } from 'undici'

interface WatchCallbacks {
  /** Called with each part of the response. */
  readonly onData: () => void
  /** Called with each line that is not blank; what it throws ends the response. */
  readonly onLine: (line: string) => void
  /** A blank line. */
  readonly onHeartbeat: () => void
  readonly onEnd: () => void
  readonly onFailure: (error: Error) => void
}

const lineFeed = 10
const secondMs = 1000

/** Splits the response to a watch into lines. Ends one with a line or with heartbeats without end. */
export class WatchHandler implements Dispatcher.DispatchHandler {
  private incompleteLine = new ByteList()
  private heartbeats = 0
  private countedSinceMs = performance.now()

  constructor (private readonly callbacks: WatchCallbacks) {}

  onRequestStart (): void {}

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (status !== 200) controller.abort(new HttpCallError(`watch was refused with status ${status}`, true, false))
  }

  onResponseData (_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.callbacks.onData()
    let start = 0
    for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, start)) {
      this.addPart(chunk.subarray(start, end))
      start = end + 1
      this.endLine()
    }
    this.addPart(chunk.subarray(start))
  }

  onResponseEnd (): void {
    this.callbacks.onEnd()
  }

  onResponseError (_: Dispatcher.DispatchController, error: Error): void {
    this.callbacks.onFailure(error)
  }

  private addPart (part: Buffer): void {
    const { maxWatchLineBytes } = keyValueConstants
    if (this.incompleteLine.byteLength + part.length > maxWatchLineBytes) {
      throw new OversizedAnswerError(`a line of more than ${maxWatchLineBytes} bytes`)
    }
    if (part.length > 0) this.incompleteLine.add(part)
  }

  private endLine (): void {
    const line = this.incompleteLine
    if (line.byteLength > 0) this.incompleteLine = new ByteList()
    const text = line.buildBuffer().toString('utf8')
    if (text.trim() !== '') return this.callbacks.onLine(text)
    this.countHeartbeat()
    this.callbacks.onHeartbeat()
  }

  private countHeartbeat (): void {
    const nowMs = performance.now()
    if (nowMs - this.countedSinceMs >= secondMs) {
      this.countedSinceMs = nowMs
      this.heartbeats = 0
    }
    this.heartbeats++
    const { maxHeartbeatsPerSecond } = keyValueConstants
    if (this.heartbeats <= maxHeartbeatsPerSecond) return
    throw new OversizedAnswerError(`more than ${maxHeartbeatsPerSecond} heartbeats in a second`)
  }
}

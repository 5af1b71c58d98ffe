import type { ExchangeFailure } from './exchangeFailure.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

/** Receives an upstream's response. The last callback is either `onEnd` or `onFailure`, called once. */
export interface ExchangeHandler {
  onHead (head: UpstreamResponseHead): void
  onData (chunk: Buffer): void
  /** The response is complete. */
  onEnd (): void
  onFailure (failure: ExchangeFailure): void
}

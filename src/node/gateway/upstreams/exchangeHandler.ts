import type { ExchangeFailure } from './exchangeFailure.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

/** Receives an upstream's answer. Ends with exactly one of `onEnd` and `onFailure`. */
export interface ExchangeHandler {
  onHead (head: UpstreamResponseHead): void
  onData (chunk: Buffer): void
  /** The answer is whole. */
  onEnd (): void
  onFailure (failure: ExchangeFailure): void
}

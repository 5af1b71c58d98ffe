import type { ExchangeFailure } from './exchangeFailure.js'
import type { ExchangeFlow } from './exchangeFlow.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

/** Receives an upstream's response. Exactly one of `onEnd` and `onFailure` is called, as the last callback. */
export interface ExchangeHandler {
  /** The request is sent by way of another host. */
  onRelayed? (hostId: string): void
  /** The request is sent over a connection of this host. */
  onStarted? (flow: ExchangeFlow): void
  onHead (head: UpstreamResponseHead): void
  onData (chunk: Buffer): void
  /** The response is complete. */
  onEnd (): void
  onFailure (failure: ExchangeFailure): void
}

import type { UpstreamError } from './upstreamError.js'

/** Callbacks of an HTTP call to an upstream. The last call is either `onEnd` or `onError`. */
export interface UpstreamCallHandler {
  /**
   * The head of the response; `isLeaving` when the upstream marks itself as leaving. `contentLength` is in bytes; undefined
   * when it is not stated.
   */
  onStart? (status: number, isLeaving: boolean, contentLength?: number): void
  onData (chunk: Buffer): void
  onEnd (): void
  onError (error: UpstreamError): void
}

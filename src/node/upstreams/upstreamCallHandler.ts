import type { UpstreamError } from './upstreamError.js'

/** Callbacks of an HTTP call to an upstream. The last call is either `onEnd` or `onError`. */
export interface UpstreamCallHandler {
  onStart? (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void
  onData (chunk: Buffer): void
  onEnd (): void
  onError (error: UpstreamError): void
}

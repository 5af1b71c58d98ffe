import type { UpstreamError } from './upstreamError.js'

/** Events of one HTTP call to an upstream; `onEnd` or `onError` comes last, and only one of them. */
export interface UpstreamCallHandler {
  onStart? (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void
  onData (chunk: Buffer): void
  onEnd (): void
  onError (error: UpstreamError): void
}

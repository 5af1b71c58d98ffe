import type { UpstreamError } from './upstreamError.js'

/** Callbacks of a generation. The last call is either `onEnd` or `onError`. */
export interface EngineStreamHandler {
  /** Tokens in order and without gaps, as JSON string literals. */
  onTokens (literals: readonly string[]): void
  onEnd (): void
  onError (error: UpstreamError): void
}

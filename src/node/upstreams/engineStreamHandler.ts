import type { UpstreamError } from './upstreamError.js'

/** Events of a generation; `onEnd` or `onError` comes last, and only one of them. */
export interface EngineStreamHandler {
  /** Tokens in order and without gaps, as JSON string literals. */
  onTokens (literals: readonly string[]): void
  onEnd (): void
  onError (error: UpstreamError): void
}

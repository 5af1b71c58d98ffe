import type { UpstreamError } from '../upstreams/upstreamError.js'

/** Events of one attempt; `onDone` or `onFailed` comes last, and only one of them. */
export interface AttemptHandler {
  /** Tokens of a generation, as JSON string literals. */
  onTokens (literals: readonly string[]): void
  onDone (output: unknown): void
  onFailed (error: UpstreamError): void
}

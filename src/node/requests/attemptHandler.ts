import type { UpstreamError } from '../upstreams/upstreamError.js'

/** Callbacks of an attempt. The last call is either `onDone` or `onFailed`. */
export interface AttemptHandler {
  /** Receives tokens of a generation, as JSON string literals. */
  onTokens (literals: readonly string[]): void
  onDone (output: unknown): void
  onFailed (error: UpstreamError): void
}

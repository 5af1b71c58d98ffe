import type { PromptPart } from './promptPart.js'

/** Head of a client's request, decoded. */
export interface ClientRequest {
  readonly id: string
  readonly method: string
  /** Path with query, as sent. */
  readonly target: string
  readonly hostName: string
  /** Time that the client still waits; undefined when not stated. */
  readonly timeLeftMs?: number
  readonly apiKey?: string
  readonly lastEventId?: string
  /** Parts of the prompt in order; empty for requests without a prompt. */
  readonly promptParts: readonly PromptPart[]
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** Pieces of each stage; empty when the request has none. */
  readonly pieceCounts: readonly number[]
  readonly pieceKey: string
  /** End-to-end headers to forward, names and values in turn. */
  readonly forwardedHeaders: readonly string[]
}

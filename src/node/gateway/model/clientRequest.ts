import type { PromptPart } from './promptPart.js'

/** Decoded head of a client request. */
export interface ClientRequest {
  readonly id: string
  readonly method: string
  /** Path with query, as sent. */
  readonly target: string
  readonly hostName: string
  /** Time for which the client still waits; undefined when not stated. */
  readonly timeLeftMs?: number
  readonly apiKey?: string
  /** Id of the last event that the client has, when it resumes a stream. */
  readonly lastEventId?: string
  /** Id of the request that brought the first event of the stream that this one resumes. */
  readonly resumedId?: string
  /** Parts of the prompt in order; empty for requests without a prompt. */
  readonly promptParts: readonly PromptPart[]
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** Number of pieces of each stage; empty when the request has no stages. */
  readonly pieceCounts: readonly number[]
  /** Key of the input from which the stages make their pieces; empty when not stated. */
  readonly pieceKey: string
  /** End-to-end headers to forward, as alternating names and values. */
  readonly forwardedHeaders: readonly string[]
}

import type { AnswerAllowance } from './answerAllowance.js'

/** A call to a platform service whose answer is collected. */
export interface ServiceCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
  /** Largest body of the answer. */
  readonly maxAnswerBytes: number
  readonly allowance: AnswerAllowance
  /** Ends the call; it rejects with the reason. */
  readonly signal: AbortSignal
}

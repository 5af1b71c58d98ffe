import type { AnswerError } from './answerError.js'

/** How one connection of a request ended. `broken`: the request goes on and can be rejoined. */
export type ConnectionOutcome =
  | { readonly type: 'answered', readonly result: unknown }
  | { readonly type: 'violated', readonly violation: string }
  | { readonly type: 'error', readonly error: AnswerError, readonly status: number }
  | { readonly type: 'broken', readonly reason: string }

import type { ExecutionState } from '../../types/executionState.js'

/** Final event of an answer. `result` maps the names of final stages that are not streamed to their outputs. */
export type AnswerEnd =
  | { readonly kind: 'done', readonly tokenCount: number, readonly result: Readonly<Record<string, unknown>> }
  | {
    readonly kind: 'error'
    readonly code: string
    readonly message: string
    readonly ran: ExecutionState
    readonly httpStatus: number
    readonly retryAfterMs?: number
    readonly addresses?: ReadonlyArray<{ readonly address: string, readonly failureDomain: string }>
  }

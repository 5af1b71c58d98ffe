import type { StageOutput } from './stageOutput.js'

/** How the stages of a request ended. */
export type StageOutcome =
  | {
    readonly type: 'completed',
    readonly outputs: readonly StageOutput[],
    /** Failure domain that holds most bytes of the outputs. */
    readonly outputDomain: string,
    /** Engine chosen for the request. */
    readonly engineId?: string,
    /** Prompt tokens that the engine has to read; undefined when not stated. */
    readonly engineReadTokens?: number,
    /** Prefill backlog of the engine when it was chosen. */
    readonly engineBacklogMs?: number
  }
  | { readonly type: 'refused', readonly reason: string, readonly retryAfterMs: number }
  | { readonly type: 'failed', readonly reason: string }
  /** No stage was started; the job may be tried in another cell. */
  | { readonly type: 'declined', readonly reason: string }

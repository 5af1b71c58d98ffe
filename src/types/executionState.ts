/**
 * Whether a refused or failed request was executed: `not_run` guarantees that no byte of it reached an upstream
 * that could act on it, `ran` that it took effect; `unknown` means that neither is certain.
 */
export type ExecutionState = 'not_run' | 'ran' | 'unknown'

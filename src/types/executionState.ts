/**
 * What a refusal or error says about execution: `not_run` is a promise that no byte of the request
 * reached an upstream that could act on it, `ran` that it took effect, `unknown` that neither is certain.
 */
export type ExecutionState = 'not_run' | 'ran' | 'unknown'

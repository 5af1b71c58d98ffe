/**
 * Decision whether a request may be sent to the engines of its service; `beginInMs` is when the first one could begin
 * it.
 */
export type EngineAdmission =
  | { readonly isAdmitted: true }
  | { readonly isAdmitted: false, readonly beginInMs: number, readonly retryAfterMs: number }

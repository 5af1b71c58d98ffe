/**
 * Decision whether a request is within the share of its priority and account. `share` is the part of such requests that
 * is admitted, and `engineWaitMs` the wait at the engines of the service.
 */
export type ShareAdmission =
  | { readonly isAdmitted: true }
  | { readonly isAdmitted: false, readonly share: number, readonly engineWaitMs: number, readonly retryAfterMs: number }

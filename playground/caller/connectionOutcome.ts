import type { CallerApiError } from './callerApiError.js'

/**
 * How one connection of a request ended. `violated`: the answer failed the check. `broken`: the connection broke or was
 * silent; the request may still be running and can be rejoined.
 */
export type ConnectionOutcome =
  | { readonly type: 'answered', readonly result: unknown }
  | { readonly type: 'violated', readonly violation: string }
  | { readonly type: 'error', readonly error: CallerApiError, readonly status: number }
  | { readonly type: 'broken', readonly reason: string }

import type { CallerApiError } from './callerApiError.js'

/** How one connection of a request ended. `broken`: the request goes on and can be rejoined. */
export type ConnectionOutcome =
  | { readonly type: 'answered', readonly result: unknown }
  | { readonly type: 'violated', readonly violation: string }
  | { readonly type: 'error', readonly error: CallerApiError, readonly status: number }
  | { readonly type: 'broken', readonly reason: string }

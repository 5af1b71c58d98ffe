/** Result of admission. `retryAfterMs` is the time until a refused caller's retry can succeed. */
export type AdmissionDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly reason: 'limit_reached' | 'deadline_unreachable' | 'overloaded', readonly retryAfterMs: number }

/** Result of admission. `retryAfterMs` tells a refused caller when a new try can succeed. */
export type AdmissionDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly reason: 'limit_reached' | 'deadline_unreachable' | 'overloaded', readonly retryAfterMs: number }

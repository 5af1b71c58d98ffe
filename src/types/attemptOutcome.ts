/**
 * Outcome of an attempt at an upstream. `refused` means that the upstream ran nothing, `invalid` that it broke the
 * protocol: neither this host nor the path can be the cause.
 */
export type AttemptOutcome = 'completed' | 'failed' | 'invalid' | 'refused' | 'cancelled'

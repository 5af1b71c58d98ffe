/** Outcome of an attempt at an upstream. `refused` means that the upstream ran nothing. */
export type AttemptOutcome = 'completed' | 'failed' | 'refused' | 'cancelled'

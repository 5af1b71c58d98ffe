/** How an attempt at an upstream ended. `refused` means that the upstream ran nothing. */
export type AttemptOutcome = 'completed' | 'failed' | 'refused' | 'cancelled'

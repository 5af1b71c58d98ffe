/** What follows a signal. */
export type SignalOutcome = 'drain' | 'reload' | 'end' | 'none'

/** What follows a signal. */
export type SignalOutcome = 'drain' | 'reload' | 'reload after the start' | 'end' | 'none'

/** What follows a signal. */
export type SignalOutcome = 'cancel the start' | 'drain' | 'reload' | 'reload after the start' | 'end' | 'none'

/** A signal that a host handles. */
export type HostSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP'

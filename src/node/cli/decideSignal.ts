import type { HostSignal } from './hostSignal.js'
import type { HostState } from './hostState.js'
import type { SignalOutcome } from './signalOutcome.js'

/** Decides what a signal does to a host: a stop signal drains a running host, and ends it at once in any other state. */
export function decideSignal (signal: HostSignal, state: HostState): SignalOutcome {
  if (signal === 'SIGHUP') return state === 'starting' ? 'none' : 'reload'
  return state === 'running' ? 'drain' : 'end'
}

import type { HostSignal } from './hostSignal.js'
import type { HostState } from './hostState.js'
import type { SignalOutcome } from './signalOutcome.js'

/**
 * Decides what a signal does to a host. SIGHUP reloads the settings where the host can; elsewhere it means that the
 * terminal was closed and stops the host. A stop signal drains a running host, cancels a start, and ends a drain.
 */
export function decideSignal (signal: HostSignal, state: HostState, canReload: boolean): SignalOutcome {
  if (signal === 'SIGHUP' && canReload) return state === 'starting' ? 'reload after the start' : 'reload'
  if (state === 'starting') return 'cancel the start'
  return state === 'running' ? 'drain' : 'end'
}

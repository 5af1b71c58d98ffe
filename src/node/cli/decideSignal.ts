import type { HostSignal } from './hostSignal.js'
import type { HostState } from './hostState.js'
import type { SignalOutcome } from './signalOutcome.js'

interface SignalContext {
  readonly state: HostState
  /** Whether the host can reload its settings. */
  readonly canReload: boolean
  /** Whether a SIGINT has come before. */
  readonly isInterrupted: boolean
}

/**
 * Decides what a signal does to a host. SIGHUP reloads the settings where the host can; elsewhere it means that the
 * terminal was closed and stops the host. The first stop signal drains the host or cancels its start. Further ones mean
 * the same stop, except a second SIGINT: a person at a terminal has no other signal for an end at once. SIGUSR2 means
 * nothing to a host, but would end the process if it were not handled.
 */
export function decideSignal (signal: HostSignal, { state, canReload, isInterrupted }: SignalContext): SignalOutcome {
  if (signal === 'SIGUSR2') return 'none'
  if (signal === 'SIGHUP' && canReload) return state === 'starting' ? 'reload after the start' : 'reload'
  if (state === 'starting') return 'cancel the start'
  if (state === 'running') return 'drain'
  return signal === 'SIGINT' && isInterrupted ? 'end' : 'none'
}

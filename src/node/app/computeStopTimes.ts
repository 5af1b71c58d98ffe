import { gatewayConstants } from './gatewayConstants.js'
import type { StopTimes } from './stopTimes.js'

interface StopLoad {
  /** Monotonic time at which the stop was asked for. */
  readonly arrivedAtMs: number
  readonly gracePeriodMs: number
  /** Processor cores of the machine; may be a fraction. */
  readonly cores: number
  /** Time by which the event loop runs timers late. */
  readonly lagMs: number
}

/**
 * Computes the end of a planned stop so that the process ends within its grace period. Answers a stop under load on a
 * machine with a fraction of a core: the last steps cost processor time, and each of them waits for a turn of the event
 * loop. With a core and a punctual event loop, `stopReserveMs` is reserved.
 */
export function computeStopTimes ({ arrivedAtMs, gracePeriodMs, cores, lagMs }: StopLoad): StopTimes {
  const { stopReserveMs, exitReserveMs, stopWorkMs, exitWorkMs, stopTurns, exitTurns, minServingShare, minExitShare } = gatewayConstants
  const slowdown = 1 / Math.min(cores, 1) - 1
  const exitReserve = exitReserveMs + exitWorkMs * slowdown + exitTurns * lagMs
  const exitAfterMs = Math.max(gracePeriodMs - exitReserve, gracePeriodMs * minExitShare)
  const endReserve = stopReserveMs - exitReserveMs + stopWorkMs * slowdown + stopTurns * lagMs
  const endAfterMs = Math.max(exitAfterMs - endReserve, Math.min(gracePeriodMs * minServingShare, gracePeriodMs - stopReserveMs), 0)
  return { endAtMs: arrivedAtMs + endAfterMs, exitAtMs: arrivedAtMs + exitAfterMs }
}

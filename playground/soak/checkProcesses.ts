import { soakConstants } from './constants.js'
import type { SoakHostRun } from './soakHostRun.js'
import type { SoakRecords } from './soakRecords.js'

/**
 * Checks that processes end only when they are told to, with status 0 and within the grace period, stay within their memory,
 * and are ready at the end of the run, when no fault has been injected for a while.
 */
export function checkProcesses ({ runs, endedAtMs }: SoakRecords): readonly string[] {
  return runs.flatMap(run => {
    const reasons = [describeEnd(run), describeMemory(run), describeReadiness(run, endedAtMs)].filter(reason => reason !== undefined)
    return reasons.map(reason => `FAULT: the process of ${run.host} that started at ${Math.round(run.startedAtMs)} ms ${reason}`)
  })
}

function describeEnd ({ startedAtMs, signals, end, slowed }: SoakHostRun): string | undefined {
  if (end === undefined) return undefined
  const stoppedAtMs = signals.find(({ signal }) => signal === 'SIGTERM')?.atMs
  const killedAtMs = signals.find(({ signal }) => signal === 'SIGKILL')?.atMs
  const sent = signals.map(({ signal, atMs }) => `${signal} at ${Math.round(atMs - startedAtMs)} ms`).join(', ')
  if (end.signal === 'SIGKILL' && killedAtMs !== undefined) {
    // A process without processor time cannot use its grace period.
    const wasHeldUp = stoppedAtMs !== undefined && (slowed.some(({ toMs }) => toMs >= stoppedAtMs) || signals.some(({ signal, atMs }) => (signal === 'SIGCONT' || signal === 'SIGSTOP') && atMs >= stoppedAtMs))
    const isOverdue = stoppedAtMs !== undefined && killedAtMs - stoppedAtMs >= soakConstants.gracePeriodMs
    return isOverdue && !wasHeldUp ? `still ran at the end of its grace period (${sent})` : undefined
  }
  const outcome = end.signal === null ? `status ${end.code}` : end.signal
  if (stoppedAtMs === undefined) return `ended by itself after ${Math.round(end.atMs - startedAtMs)} ms with ${outcome} (${sent === '' ? 'no signal' : sent})`
  return end.code === 0 ? undefined : `was stopped and ended after ${Math.round(end.atMs - startedAtMs)} ms with ${outcome} (${sent})`
}

function describeMemory ({ peakMemoryMb, memoryMb }: SoakHostRun): string | undefined {
  return peakMemoryMb > memoryMb ? `took ${Math.round(peakMemoryMb)} MB, its machine has ${memoryMb} MB` : undefined
}

function describeReadiness ({ startedAtMs, signals, end, lastReadyAtMs = -Infinity }: SoakHostRun, endedAtMs: number): string | undefined {
  const { recoveryMs, readyWindowMs } = soakConstants
  const wasStopped = signals.some(({ signal, atMs }) => signal === 'SIGTERM' && atMs < endedAtMs)
  const hasEnded = end !== undefined && end.atMs < endedAtMs
  // Every fault ends a recovery time before the end of the run.
  if (wasStopped || hasEnded || startedAtMs > endedAtMs - recoveryMs + readyWindowMs) return undefined
  return lastReadyAtMs >= endedAtMs - readyWindowMs ? undefined : `was not ready in the last ${readyWindowMs} ms of the run`
}

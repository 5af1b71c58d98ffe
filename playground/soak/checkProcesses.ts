import { soakConstants } from './constants.js'
import type { SoakHostRun } from './soakHostRun.js'
import type { SoakRecords } from './soakRecords.js'

/**
 * Checks that processes end only when they are told to, with status 0 and within the grace period, stay within their
 * memory, log no errors, and are ready at the end of the run, when no fault has been injected for a while.
 */
export function checkProcesses ({ runs, endedAtMs }: SoakRecords): readonly string[] {
  return runs.flatMap(run => {
    const reasons = [describeEnd(run), describeMemory(run), describeErrors(run), describeReadiness(run, endedAtMs)]
    const name = `the process of ${run.host} that started at ${Math.round(run.startedAtMs)} ms`
    return reasons.filter(reason => reason !== undefined).map(reason => `FAULT: ${name} ${reason}`)
  })
}

function describeEnd ({ startedAtMs, signals, end, slowed }: SoakHostRun): string | undefined {
  if (end === undefined) return undefined
  const stoppedAtMs = signals.find(({ signal }) => signal === 'SIGTERM')?.atMs
  const killedAtMs = signals.find(({ signal }) => signal === 'SIGKILL')?.atMs
  const sent = signals.map(({ signal, atMs }) => `${signal} at ${Math.round(atMs - startedAtMs)} ms`).join(', ')
  if (end.signal === 'SIGKILL' && killedAtMs !== undefined) {
    // A process without processor time cannot use its grace period.
    const drainsFromMs = stoppedAtMs ?? Infinity
    const wasFrozen = signals.some(({ signal, atMs }) => /STOP|CONT/.test(signal) && atMs >= drainsFromMs)
    const wasHeldUp = wasFrozen || slowed.some(({ toMs }) => toMs >= drainsFromMs)
    const isOverdue = killedAtMs - drainsFromMs >= soakConstants.gracePeriodMs
    return isOverdue && !wasHeldUp ? `still ran at the end of its grace period (${sent})` : undefined
  }
  const outcome = `${end.signal ?? `status ${end.code}`} (${sent === '' ? 'no signal' : sent})`
  const time = `after ${Math.round(end.atMs - startedAtMs)} ms`
  if (stoppedAtMs === undefined) return `ended by itself ${time} with ${outcome}`
  return end.code === 0 ? undefined : `was stopped and ended ${time} with ${outcome}`
}

function describeMemory ({ peakMemoryMb, memoryMb }: SoakHostRun): string | undefined {
  return peakMemoryMb > memoryMb ? `took ${Math.round(peakMemoryMb)} MB, its machine has ${memoryMb} MB` : undefined
}

function describeErrors ({ errors }: SoakHostRun): string | undefined {
  return errors.length > 0 ? `logged ${errors.length} errors, the first is ${errors[0]}` : undefined
}

function describeReadiness (run: SoakHostRun, endedAtMs: number): string | undefined {
  const { startedAtMs, signals, end, lastReadyAtMs = -Infinity } = run
  const { recoveryMs, readyWindowMs } = soakConstants
  const wasStopped = signals.some(({ signal, atMs }) => signal === 'SIGTERM' && atMs < endedAtMs)
  const hasEnded = end !== undefined && end.atMs < endedAtMs
  // Every fault ends a recovery time before the end of the run.
  if (wasStopped || hasEnded || startedAtMs > endedAtMs - recoveryMs + readyWindowMs) return undefined
  if (lastReadyAtMs >= endedAtMs - readyWindowMs) return undefined
  return `was not ready in the last ${readyWindowMs} ms of the run`
}

import type { StageCall } from './stageCall.js'
import type { StageService } from './stageService.js'

/** Largest slowdown of an upstream whose calls count: when it is slow as a whole, they say nothing about the pieces. */
const maxSlowdown = 1.5

/** Feeds the duration of an answered call to the estimates of piece durations. */
export function observeCallCosts (service: StageService, call: StageCall, nowMs: number): void {
  if ((service.upstreams.get(call.upstreamId)?.slowdown ?? 1) >= maxSlowdown) return
  const counts = new Map<string, number>()
  for (const { task } of call.pieceRefs) {
    counts.set(task.pieceKind, (counts.get(task.pieceKind) ?? 0) + 1)
  }
  service.costs.observe(counts, nowMs - call.sentAtMs - call.expectedMs, service.spec.pieceMs)
}

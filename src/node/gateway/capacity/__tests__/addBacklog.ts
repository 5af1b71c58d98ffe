import type { ServiceCapacity } from '../serviceCapacity.js'

/** Adds requests to the engine `a`, of which more than half have been read after 1 s. */
export function addBacklog (capacity: ServiceCapacity, nowMs: number): void {
  const sample = { engineId: 'a', readTokens: 6000, backlogMs: 0, inProgress: 0 }
  for (let i = 0; i < 10; i++) capacity.observeFirstEvent({ ...sample, engineId: 'other', elapsedMs: 120 }, nowMs)
  for (let i = 0; i < 60; i++) {
    const request = {}
    capacity.addWaiting(request, sample, nowMs)
    if (i < 35) capacity.removeWaiting(request, 'a', true, nowMs + i * 30)
  }
}

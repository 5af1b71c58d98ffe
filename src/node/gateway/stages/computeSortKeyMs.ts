import { stageConstants } from './constants.js'
import type { StageJob } from './stageJob.js'
import type { StageService } from './stageService.js'

/**
 * Place of a job in the order of the queues: its arrival, later for each level of priority and for the time that its
 * pieces take of their services. At a load peak the services are the bottleneck, and a job of the same priority is worth
 * the same whatever it takes, so cheap jobs go first. Both offsets are bounded, so that no job waits for later ones for
 * ever.
 */
export function computeSortKeyMs (job: StageJob, services: ReadonlyMap<string, StageService>, nowMs: number): number {
  let costMs = 0
  for (const { service: name, pieceCount, index } of job.stages) {
    const service = services.get(name)
    if (service === undefined) continue
    const { callMs, batchSize } = service.spec
    const pieceMs = service.computePieceMs(`${job.route}:${index}`) + callMs / batchSize
    costMs += pieceCount * pieceMs / Math.max(service.upstreams.size, 1)
  }
  const { priorityStepMs, costWeight, maxCostOffsetMs } = stageConstants
  return nowMs + job.priority * priorityStepMs + Math.min(costMs * costWeight, maxCostOffsetMs)
}

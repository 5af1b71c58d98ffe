import type { lycheetrack as messages } from '../../peers/generated/peer.js'
import type { StageJob } from './stageJob.js'

/** Encodes a job for the host that schedules the cell of `domains`; its times become relative to `nowMs`. */
export function encodeStageJob (job: StageJob, domains: readonly string[], nowMs: number): messages.IStageJob {
  return {
    jobId: job.id,
    requestId: job.requestId,
    pieceKey: job.pieceKey,
    route: job.route,
    stages: job.stages.map(stage => ({
      index: stage.index,
      service: stage.service,
      after: [...stage.after],
      pieceCount: stage.pieceCount,
      resultBytes: stage.resultBytes
    })),
    aimLeftMs: job.targetAtMs - nowMs,
    timeLeftMs: job.deadlineAtMs - nowMs,
    priority: job.priority,
    engineService: job.engineService ?? '',
    promptTokens: job.prompt.tokens,
    partIds: job.prompt.parts.map(part => part.id),
    partTokens: job.prompt.parts.map(part => part.tokens),
    isDeclinable: job.isDeclinable,
    cellDomains: [...domains]
  }
}

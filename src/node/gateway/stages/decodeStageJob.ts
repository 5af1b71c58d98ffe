import type { lycheetrack as messages } from '../../peers/generated/peer.js'
import type { StageJob } from './stageJob.js'

/** Decodes a job from another host; its relative times become times on this host's clock. */
export function decodeStageJob (message: messages.IStageJob, nowMs: number): StageJob {
  return {
    id: message.jobId ?? '',
    requestId: message.requestId ?? '',
    pieceKey: message.pieceKey ?? '',
    route: message.route ?? '',
    stages: (message.stages ?? []).map(stage => ({
      index: stage.index ?? 0,
      service: stage.service ?? '',
      after: stage.after ?? [],
      pieceCount: stage.pieceCount ?? 0,
      resultBytes: stage.resultBytes ?? 0
    })),
    targetAtMs: nowMs + (message.aimLeftMs ?? 0),
    deadlineAtMs: nowMs + (message.timeLeftMs ?? 0),
    priority: message.priority ?? 0,
    // Set by the scheduling host, which knows the loads of the engines.
    preferredDomain: '',
    engineService: message.engineService === '' ? undefined : message.engineService ?? undefined,
    prompt: { tokens: message.promptTokens ?? 0, parts: (message.partIds ?? []).map((id, i) => ({ id, tokens: message.partTokens?.[i] ?? 0 })) },
    isDeclinable: message.isDeclinable ?? false
  }
}

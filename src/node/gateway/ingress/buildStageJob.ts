import { computeRequestPriority } from './computeRequestPriority.js'
import type { RequestRunOptions } from './requestRunOptions.js'
import type { StageJob } from '../stages/stageJob.js'

interface StageRun {
  readonly attempt: number
  /** Service whose engine is chosen together with the stages. */
  readonly engineService: string | undefined
  /** Time reserved for the request after its stages. */
  readonly reserveMs: number
}

/** Builds the stage job of a request; undefined when the request has no stage work. */
export function buildStageJob (
  { request, route, account, targetAtMs, deadlineAtMs }: RequestRunOptions,
  run: StageRun
): StageJob | undefined {
  const stages = route.stages
    .map(stage => ({ ...stage, pieceCount: request.pieceCounts[stage.index] ?? 0 }))
    .filter(stage => stage.pieceCount > 0)
  if (stages.length === 0) return undefined
  return {
    id: `${request.id}:${run.attempt}`,
    requestId: request.id,
    pieceKey: request.pieceKey,
    route: route.name,
    stages,
    targetAtMs: targetAtMs - run.reserveMs,
    deadlineAtMs: deadlineAtMs - run.reserveMs,
    priority: computeRequestPriority(route, account),
    // Set by the scheduling host, which knows the loads of the engines.
    preferredDomain: '',
    engineService: run.engineService,
    prompt: { tokens: request.promptTokens, parts: request.promptParts },
    isDeclinable: false
  }
}

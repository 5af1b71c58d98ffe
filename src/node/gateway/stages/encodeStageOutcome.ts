import type { lycheetrack as messages } from '../../peers/generated/peer.js'
import type { StageOutcome } from './stageOutcome.js'

/** Encodes the outcome of a job for the host that requested it. */
export function encodeStageOutcome (outcome: StageOutcome): messages.IStageJobOutcome {
  switch (outcome.type) {
    case 'completed': return {
      outcome: outcome.type,
      outputs: outcome.outputs.map(({ index, handles }) => ({ index, handles: [...handles] })),
      outputDomain: outcome.outputDomain,
      engineId: outcome.engineId ?? '',
      engineReadTokens: outcome.engineReadTokens ?? 0,
      engineBacklogMs: outcome.engineBacklogMs ?? 0
    }
    case 'refused': return { outcome: outcome.type, reason: outcome.reason, retryAfterMs: outcome.retryAfterMs }
    case 'failed':
    case 'declined': return { outcome: outcome.type, reason: outcome.reason }
  }
}

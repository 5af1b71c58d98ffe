import type { lycheetrack as messages } from '../../peers/generated/peer.js'
import type { StageOutcome } from './stageOutcome.js'

/** Decodes the outcome of a job at the scheduling host. */
export function decodeStageOutcome (message: messages.IStageJobOutcome): StageOutcome {
  const reason = message.reason ?? ''
  switch (message.outcome) {
    case 'completed': return {
      type: 'completed',
      outputs: (message.outputs ?? []).map(output => ({ index: output.index ?? 0, handles: output.handles ?? [] })),
      outputDomain: message.outputDomain ?? '',
      engineId: message.engineId === '' ? undefined : message.engineId ?? undefined,
      // Hosts of the previous version state neither figure.
      ...message.engineReadTokens ? { engineReadTokens: message.engineReadTokens, engineBacklogMs: message.engineBacklogMs ?? 0 } : {}
    }
    case 'refused': return { type: 'refused', reason, retryAfterMs: message.retryAfterMs ?? 0 }
    case 'declined': return { type: 'declined', reason }
    default: return { type: 'failed', reason }
  }
}

import type { StageOperation } from '../../types/stageOperation.js'
import type { StageAnswer } from './stageAnswer.js'
import type { UpstreamProbe } from './upstreamProbe.js'

/** A member of a pool that encodes, retrieves or reranks. */
export interface StagePoolMember {
  /** Rejects with `UpstreamError`. */
  send (operation: Exclude<StageOperation, 'generate' | 'call'>, callId: string, input: unknown, signal: AbortSignal): Promise<StageAnswer>
  /** Rejects with `UpstreamError`. */
  readLoad (signal: AbortSignal): Promise<UpstreamProbe>
}

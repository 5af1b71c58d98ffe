import type { StageOperation } from '../../types/stageOperation.js'
import type { StageResponse } from './stageResponse.js'
import type { UpstreamProbeResult } from './upstreamProbeResult.js'

/** An upstream of a stage pool, which encodes, retrieves or reranks. */
export interface StagePoolMember {
  /** Rejects with `UpstreamError`. */
  send (operation: Exclude<StageOperation, 'generate' | 'call'>, callId: string, input: unknown, signal: AbortSignal): Promise<StageResponse>
  /** Rejects with `UpstreamError`. */
  readLoad (signal: AbortSignal): Promise<UpstreamProbeResult>
}

import type { StageResponse } from './stageResponse.js'
import type { UpstreamProbeResult } from './upstreamProbeResult.js'

/** An instance of a plain service. */
export interface PlainService {
  /**
   * Calls an operation. With `isSendable`, the call uses a new connection and is sent only if `isSendable()` returns
   * true right before the first byte. Rejects with `UpstreamError`.
   */
  send (operation: string, callId: string, input: unknown, signal: AbortSignal, isSendable?: () => boolean): Promise<StageResponse>
  /** Rejects with `UpstreamError`. */
  readLoad (signal: AbortSignal): Promise<UpstreamProbeResult>
}

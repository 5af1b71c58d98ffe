import type { CacheEvent } from './cacheEvent.js'
import type { EngineCall } from './engineCall.js'
import type { EngineStream } from './engineStream.js'
import type { EngineStreamHandler } from './engineStreamHandler.js'
import type { UpstreamProbeResult } from './upstreamProbeResult.js'

/** An upstream that runs generations on a model engine. */
export interface ModelEngine {
  openStream (call: EngineCall, handler: EngineStreamHandler): EngineStream
  /** Rejects with `UpstreamError`. */
  readLoad (signal: AbortSignal): Promise<UpstreamProbeResult>
  /**
   * Orders the engine to load or unload a model. Rejects with `UpstreamError`, also when the engine has seen a newer
   * fencing number.
   */
  sendOrder (order: 'load' | 'unload', model: string, fencing: number, signal: AbortSignal): Promise<void>
  /**
   * Lists cache events after sequence number `afterSeq`, and the engine's latest sequence number. Rejects with
   * `UpstreamError`.
   */
  listCacheEvents (afterSeq: number, signal: AbortSignal): Promise<{ readonly events: readonly CacheEvent[], readonly latest: number }>
}

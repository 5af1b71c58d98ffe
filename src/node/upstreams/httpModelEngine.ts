import { z } from 'zod'
import type { Clock } from '../../types/clock.js'
import type { CacheEvent } from './cacheEvent.js'
import { upstreamConstants } from './constants.js'
import type { EngineCall } from './engineCall.js'
import type { EngineStream } from './engineStream.js'
import type { EngineStreamHandler } from './engineStreamHandler.js'
import { HttpEngineStream } from './httpEngineStream.js'
import type { ModelEngine } from './modelEngine.js'
import { readUpstreamLoad } from './readUpstreamLoad.js'
import type { StreamWatchdog } from './streamWatchdog.js'
import type { UpstreamClient } from './upstreamClient.js'
import { UpstreamError } from './upstreamError.js'
import type { UpstreamProbeResult } from './upstreamProbeResult.js'

const eventsSchema = z.object({
  events: z.array(z.object({ seq: z.number(), type: z.enum(['stored', 'evicted']), prefixHash: z.string() })),
  latest: z.number()
})

/** Model engine accessed over HTTP/1.1, with token streams as SSE. */
export class HttpModelEngine implements ModelEngine {
  constructor (
    private readonly client: UpstreamClient,
    private readonly watchdog: StreamWatchdog,
    private readonly clock: Clock,
    private readonly silenceMs: number = upstreamConstants.streamSilenceMs
  ) {}

  openStream (call: EngineCall, handler: EngineStreamHandler): EngineStream {
    return new HttpEngineStream({ client: this.client, watchdog: this.watchdog, clock: this.clock, silenceMs: this.silenceMs, call, handler })
  }

  async readLoad (signal: AbortSignal): Promise<UpstreamProbeResult> {
    return await readUpstreamLoad(this.client, signal)
  }

  async sendOrder (order: 'load' | 'unload', model: string, fencing: number, signal: AbortSignal): Promise<void> {
    const response = await this.client.send({ method: 'POST', path: '/orders', body: JSON.stringify({ order, model, version: '1', fencing }) }, signal)
    if (response.status === 409) throw new UpstreamError('order_refused', 'the engine has seen a newer fencing number', 'not_run', true)
    if (response.status >= 300) throw new UpstreamError('upstream_failed', `order to ${order} model ${model} failed with status ${response.status}`, 'unknown', true)
  }

  async listCacheEvents (afterSeq: number, signal: AbortSignal): Promise<{ readonly events: readonly CacheEvent[], readonly latest: number }> {
    const response = await this.client.send({ method: 'GET', path: `/cache/events?after=${afterSeq}` }, signal)
    if (response.status !== 200) throw new UpstreamError('upstream_failed', `listing cache events failed with status ${response.status}`, 'not_run', true)
    try {
      return eventsSchema.parse(JSON.parse(response.body))
    } catch (cause) {
      throw new UpstreamError('upstream_failed', 'the cache events are malformed', 'not_run', true, { cause })
    }
  }
}

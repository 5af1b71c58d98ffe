import { parseStageResponse } from './parseStageResponse.js'
import type { PlainService } from './plainService.js'
import { readUpstreamLoad } from './readUpstreamLoad.js'
import type { StageResponse } from './stageResponse.js'
import type { UpstreamClient } from './upstreamClient.js'
import type { UpstreamProbeResult } from './upstreamProbeResult.js'

/** Plain service accessed over HTTP/1.1 with JSON bodies. */
export class HttpPlainService implements PlainService {
  constructor (private readonly client: UpstreamClient) {}

  async send (operation: string, callId: string, input: unknown, signal: AbortSignal, isSendable?: () => boolean): Promise<StageResponse> {
    const body = JSON.stringify({ call_id: callId, input })
    const path = `/call/${encodeURIComponent(operation)}`
    const freshConnection = isSendable !== undefined
    return parseStageResponse(await this.client.send({ method: 'POST', path, body, freshConnection, isSendable }, signal))
  }

  async readLoad (signal: AbortSignal): Promise<UpstreamProbeResult> {
    return await readUpstreamLoad(this.client, signal)
  }
}

import type { StageOperation } from '../../types/stageOperation.js'
import { parseStageResponse } from './parseStageResponse.js'
import { readUpstreamLoad } from './readUpstreamLoad.js'
import type { StageResponse } from './stageResponse.js'
import type { StagePoolMember } from './stagePoolMember.js'
import type { UpstreamClient } from './upstreamClient.js'
import type { UpstreamProbeResult } from './upstreamProbeResult.js'

/** Stage pool member accessed over HTTP/1.1 with JSON bodies. */
export class HttpStagePoolMember implements StagePoolMember {
  constructor (private readonly client: UpstreamClient) {}

  async send (operation: Exclude<StageOperation, 'generate' | 'call'>, callId: string, input: unknown, signal: AbortSignal): Promise<StageResponse> {
    const body = JSON.stringify({ call_id: callId, input })
    return parseStageResponse(await this.client.send({ method: 'POST', path: `/v1/${operation}`, body }, signal))
  }

  async readLoad (signal: AbortSignal): Promise<UpstreamProbeResult> {
    return await readUpstreamLoad(this.client, signal)
  }
}

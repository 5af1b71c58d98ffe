import type { StageOperation } from '../../types/stageOperation.js'
import { parseStageAnswer } from './parseStageAnswer.js'
import { readUpstreamLoad } from './readUpstreamLoad.js'
import type { StageAnswer } from './stageAnswer.js'
import type { StagePoolMember } from './stagePoolMember.js'
import type { UpstreamConnection } from './upstreamConnection.js'
import type { UpstreamProbe } from './upstreamProbe.js'

/** Stage pool member over HTTP/1.1 with JSON. */
export class HttpStagePoolMember implements StagePoolMember {
  constructor (private readonly connection: UpstreamConnection) {}

  async send (operation: Exclude<StageOperation, 'generate' | 'call'>, callId: string, input: unknown, signal: AbortSignal): Promise<StageAnswer> {
    const body = JSON.stringify({ call_id: callId, input })
    return parseStageAnswer(await this.connection.send({ method: 'POST', path: `/v1/${operation}`, body }, signal))
  }

  async readLoad (signal: AbortSignal): Promise<UpstreamProbe> {
    return await readUpstreamLoad(this.connection, signal)
  }
}

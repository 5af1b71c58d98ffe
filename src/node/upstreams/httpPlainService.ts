import { parseStageAnswer } from './parseStageAnswer.js'
import type { PlainService } from './plainService.js'
import { readUpstreamLoad } from './readUpstreamLoad.js'
import type { StageAnswer } from './stageAnswer.js'
import type { UpstreamConnection } from './upstreamConnection.js'
import type { UpstreamProbe } from './upstreamProbe.js'

/** Plain service over HTTP/1.1 with JSON. */
export class HttpPlainService implements PlainService {
  constructor (private readonly connection: UpstreamConnection) {}

  async send (operation: string, callId: string, input: unknown, signal: AbortSignal, isSendable?: () => boolean): Promise<StageAnswer> {
    const body = JSON.stringify({ call_id: callId, input })
    const path = `/call/${encodeURIComponent(operation)}`
    const freshConnection = isSendable !== undefined
    return parseStageAnswer(await this.connection.send({ method: 'POST', path, body, freshConnection, isSendable }, signal))
  }

  async readLoad (signal: AbortSignal): Promise<UpstreamProbe> {
    return await readUpstreamLoad(this.connection, signal)
  }
}

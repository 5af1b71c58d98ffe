import type { UpstreamResponseHead } from '../gateway/model/upstreamResponseHead.js'

/** Decodes the head of an answer to a call of the serve command, of which only a part of the headers is used. */
export function decodeCallResponse (
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>
): UpstreamResponseHead {
  const connection = [headers['connection']].flat().join()
  const length = headers['content-length']
  return {
    status,
    isNotRun: false,
    areInputsGone: false,
    isMisdirected: false,
    closesConnection: connection.toLowerCase().includes('close'),
    isLeaving: headers['x-upstream-state'] === 'leaving',
    isSigned: false,
    isFramed: length !== undefined || headers['transfer-encoding'] !== undefined,
    contentLength: typeof length === 'string' ? Number(length) : undefined,
    forwardedHeaders: []
  }
}

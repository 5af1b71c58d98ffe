import { createHash } from 'node:crypto'
import { versionConstants } from './constants.js'

/** Digest of the id of the request that began a stream: ids are chosen by clients and may be long. */
export function hashStreamId (requestId: string): string {
  return createHash('sha256').update(requestId).digest('base64url').slice(0, versionConstants.streamHashLength)
}

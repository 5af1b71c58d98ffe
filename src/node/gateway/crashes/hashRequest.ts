import { createHash } from 'node:crypto'
import { crashConstants } from './constants.js'
import type { ClientAccount } from '../model/clientAccount.js'
import type { ClientRequest } from '../model/clientRequest.js'

/**
 * Digest of what a request has in common with its later tries: method, path, caller, prompt and body, without the id
 * and what else differs from try to try.
 */
export function hashRequest (request: ClientRequest, account: ClientAccount | null, body: Buffer): string {
  const { method, target, hostName, promptParts, pieceKey } = request
  const fields = [method, hostName, target, account?.name ?? '', pieceKey, ...promptParts.map(part => part.id)]
  const digest = createHash('sha256').update(JSON.stringify(fields)).update(body).digest('hex')
  return digest.slice(0, crashConstants.requestHashLength)
}

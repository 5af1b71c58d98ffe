import { soakConstants } from './constants.js'
import type { SoakDraft } from './soakDraft.js'
import type { SoakRequest } from './soakRequest.js'

interface DraftOptions {
  readonly kind: SoakRequest['kind']
  readonly client: string
  /** Number of the request among those of the client. */
  readonly count: number
  /** Time that the upstream adds to its work. */
  readonly workMs?: number
  readonly body?: string
  /** Length to which the upstream extends its answer. */
  readonly answerBytes?: number
  /** Whether the request has an API key that the configurations hold. */
  readonly isAllowed?: boolean
}

/** Builds a request of a soak client. */
export function buildDraft ({ kind, client, count, workMs, body, answerBytes = 0, isAllowed = true }: DraftOptions): SoakDraft {
  const id = `${client}-${count}`
  const method = kind === 'safe' ? 'GET' : 'POST'
  const sentBody = method === 'POST' ? body ?? `body of ${id}` : ''
  return {
    id,
    kind,
    method,
    path: `/${kind}/${id}${workMs === undefined ? '' : `?work=${workMs}&bytes=${answerBytes}`}`,
    body: sentBody,
    timeoutMs: soakConstants.clientTimeoutMs,
    isAllowed,
    headers: {
      host: 'soak.example',
      authorization: isAllowed ? 'Token soak-key' : 'Token unknown-key',
      'x-request-id': id,
      'x-time-remaining': String(soakConstants.clientTimeoutMs),
      ...method === 'POST' ? { 'content-length': String(sentBody.length) } : {},
      ...kind === 'safe' || kind === 'once'
        ? {}
        : { 'x-model': 'm', 'x-token-counts': '10,80', 'x-prompt-prefix': `aa:4,${count.toString(16)}:6` },
      ...kind === 'pipe' ? { 'x-pieces': '2,2', 'x-piece-key': `key-${id}` } : {}
    }
  }
}

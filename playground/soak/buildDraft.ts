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
  /** Pause between the events of a stream. */
  readonly eventIntervalMs?: number
  /** The stream that the request resumes, as far as its client has it. */
  readonly resumed?: { readonly request: Pick<SoakRequest, 'id' | 'path' | 'body'>, readonly lastEventId: number }
  /** Whether the request has an API key that the configurations hold. */
  readonly isAllowed?: boolean
}

/** Builds a request of a soak client. */
export function buildDraft (options: DraftOptions): SoakDraft {
  const { kind, client, count, workMs, body, answerBytes = 0, eventIntervalMs, resumed, isAllowed = true } = options
  const id = `${client}-${count}`
  const method = kind === 'safe' ? 'GET' : 'POST'
  const sentBody = method === 'POST' ? resumed?.request.body ?? body ?? `body of ${id}` : ''
  const parameters = Object.entries({ work: workMs, bytes: workMs === undefined ? undefined : answerBytes, pause: eventIntervalMs })
    .flatMap(([name, value]) => value === undefined ? [] : `${name}=${value}`)
    .join('&')
  return {
    id,
    kind,
    method,
    path: resumed?.request.path ?? `/${kind}/${id}${parameters === '' ? '' : `?${parameters}`}`,
    body: sentBody,
    timeoutMs: soakConstants.clientTimeoutMs,
    isAllowed,
    resumedId: resumed?.request.id,
    lastEventId: resumed?.lastEventId,
    headers: {
      host: 'soak.example',
      authorization: isAllowed ? 'Token soak-key' : 'Token unknown-key',
      'x-request-id': id,
      'x-time-remaining': String(soakConstants.clientTimeoutMs),
      ...method === 'POST' ? { 'content-length': String(sentBody.length) } : {},
      ...kind === 'safe' || kind === 'once'
        ? {}
        : { 'x-model': 'm', 'x-token-counts': '10,80', 'x-prompt-prefix': `aa:4,${count.toString(16)}:6` },
      ...resumed === undefined ? {} : { resumes: resumed.request.id, 'last-event-id': String(resumed.lastEventId) },
      ...kind === 'pipe' ? { 'x-pieces': '2,2', 'x-piece-key': `key-${id}` } : {}
    }
  }
}

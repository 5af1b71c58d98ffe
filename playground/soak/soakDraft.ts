import type { SoakRequest } from './soakRequest.js'

/** A request that is about to be sent. */
export interface SoakDraft
  extends Pick<SoakRequest, 'id' | 'kind' | 'method' | 'path' | 'body' | 'timeoutMs' | 'isAllowed' | 'resumedId' | 'lastEventId'> {
  readonly headers: Readonly<Record<string, string>>
}

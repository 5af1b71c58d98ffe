import type { RequestSample } from '../../../types/requestSample.js'

/** Creates a request sample; `attained` states whether it met its objective, `atMs` is in milliseconds since the epoch. */
export function createSample (attained: boolean, atMs: number, part: Partial<RequestSample> = {}): RequestSample {
  return { account: 'pier', kind: 'signal-query', elapsedMs: 100, attained, ran: 'ran', atMs, ...part }
}

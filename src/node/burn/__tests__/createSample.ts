import type { RequestSample } from '../../../types/requestSample.js'

/** A missed or attained request; time in milliseconds since the epoch. */
export function createSample (attained: boolean, atMs: number, part: Partial<RequestSample> = {}): RequestSample {
  return { account: 'pier', kind: 'signal-query', elapsedMs: 100, attained, ran: 'ran', atMs, ...part }
}

import { ingressConstants } from './constants.js'
import type { IngressRefusal } from './ingressRefusal.js'

/** Refusals of requests before they run, except for those that name what was asked for. */
export const ingressRefusals = {
  notReady: {
    status: 503,
    code: 'not_ready',
    reason: 'no configuration yet',
    retryAfterMs: ingressConstants.notReadyRetryAfterMs
  },
  hostMissing: { status: 400, code: 'host_required', reason: 'no Host header' },
  idMissing: { status: 400, code: 'request_id_required', reason: 'no request id' },
  unauthorized: { status: 401, code: 'unauthorized', reason: 'unknown API key' },
  bodyTooLarge: { status: 413, code: 'body_too_large', reason: 'body too large' },
  bodyLate: { status: 408, code: 'request_timeout', reason: 'the request was not received in time' },
  memoryUsedUp: {
    status: 503,
    code: 'memory_used_up',
    reason: 'the memory for requests is used up',
    retryAfterMs: ingressConstants.busyRetryAfterMs
  },
  deadlinePassed: {
    status: 503,
    code: 'overloaded',
    reason: 'the deadline has passed',
    retryAfterMs: ingressConstants.busyRetryAfterMs
  },
  stopping: {
    status: 503,
    code: 'host_stopping',
    reason: 'the host stops before the request would end',
    retryAfterMs: ingressConstants.stoppingRetryAfterMs
  }
} as const satisfies Readonly<Record<string, IngressRefusal>>

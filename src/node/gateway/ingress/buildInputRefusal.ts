import { ingressRefusals } from './ingressRefusals.js'
import type { IngressRefusal } from './ingressRefusal.js'
import type { InputError } from './inputError.js'

/** Builds the refusal of a request whose rest cannot be read. */
export function buildInputRefusal ({ code, status }: InputError): IngressRefusal {
  if (status === 503) return ingressRefusals.memoryUsedUp
  return { status, code: 'malformed_request', reason: `the request is not readable: ${code}` }
}

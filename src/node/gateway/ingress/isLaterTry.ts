import { ingressConstants } from './constants.js'
import type { ClientRequest } from '../model/clientRequest.js'
import type { Route } from '../model/route.js'

/**
 * Whether a request was tried before. A try does not state that; a later one has less time left than any first one.
 */
export function isLaterTry (
  { timeoutMs }: Pick<Route, 'timeoutMs'>,
  { timeLeftMs }: Pick<ClientRequest, 'timeLeftMs'>
): boolean {
  return timeLeftMs !== undefined && timeLeftMs < timeoutMs * ingressConstants.minClientTimeoutShare
}

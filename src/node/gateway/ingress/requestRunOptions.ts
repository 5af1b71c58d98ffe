import type { ClientAccount } from '../model/clientAccount.js'
import type { ClientResponse } from './clientResponse.js'
import type { ClientRequest } from '../model/clientRequest.js'
import type { Route } from '../model/route.js'

/** A request that has been routed and authenticated. Times are on the monotonic clock. */
export interface RequestRunOptions {
  readonly request: ClientRequest
  readonly route: Route
  readonly account: ClientAccount | null
  readonly body: Buffer
  readonly response: ClientResponse
  /** Version of the configuration that determined the route. */
  readonly configurationVersion: number
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
  /** Time by which the response, or the first event of a stream, meets the route's latency target. */
  readonly targetAtMs: number
}

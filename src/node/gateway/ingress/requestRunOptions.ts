import type { ClientAccount } from '../model/clientAccount.js'
import type { ClientResponse } from './clientResponse.js'
import type { ClientRequest } from '../model/clientRequest.js'
import type { Route } from '../model/route.js'

/** A request that has a route and an admitted client. */
export interface RequestRunOptions {
  readonly request: ClientRequest
  readonly route: Route
  readonly account: ClientAccount | null
  readonly body: Buffer
  readonly response: ClientResponse
  /** Version of the configuration that chose the route. */
  readonly configurationVersion: number
  /** Monotonic times. */
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
  /** Time by which the answer, or its first event, is on time. */
  readonly aimAtMs: number
}

import type { ClientAccount } from '../model/clientAccount.js'
import type { Route } from '../model/route.js'

/** What an admitted request is served with. */
export interface Admission {
  readonly route: Route
  readonly account: ClientAccount | null
  readonly configurationVersion: number
  /** Monotonic time from which the client's time counts. */
  readonly arrivedAtMs: number
  /** Monotonic time at which the request gets its response at the latest. */
  readonly deadlineAtMs: number
}

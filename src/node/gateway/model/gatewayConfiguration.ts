import type { ClientAccount } from './clientAccount.js'
import type { IngressLimits } from './ingressLimits.js'
import type { Route } from './route.js'
import type { ServiceSpec } from './serviceSpec.js'

/** One version of the operator's configuration. */
export interface GatewayConfiguration {
  /** Increases with each change. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, ServiceSpec>
  /** Accounts by API key; undefined when requests need no key. */
  readonly accountsByKey?: ReadonlyMap<string, ClientAccount>
  readonly limits: IngressLimits
  /** Optional fields that were not readable and count as not stated; undefined when there are none. */
  readonly unreadableFields?: readonly string[]
}

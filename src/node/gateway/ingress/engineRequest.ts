import type { ClientAccount } from '../model/clientAccount.js'
import type { ClientRequest } from '../model/clientRequest.js'
import type { Route } from '../model/route.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/** A request for a stream that is to be admitted to the engines of its service. */
export interface EngineRequest {
  readonly service: string
  /** Usable engines of the service. */
  readonly engines: readonly UpstreamState[]
  readonly route: Pick<Route, 'priority' | 'timeoutMs'>
  readonly account: ClientAccount | null
  readonly request: Pick<ClientRequest, 'id' | 'promptParts' | 'promptTokens' | 'timeLeftMs' | 'resumedId'>
  /** Time until its deadline. */
  readonly timeLeftMs: number
  /** Digest that is the same for all tries of the request; undefined when it is not known. */
  readonly findDigest: () => string | undefined
}

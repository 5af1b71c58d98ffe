import type { ClientConnection } from './clientConnection.js'
import type { ClientExchange } from './clientExchange.js'
import type { ClientResponse } from './clientResponse.js'
import type { HeldRequest } from '../memory/heldRequest.js'

/** A request that is being taken in. */
export interface Intake {
  readonly connection: ClientConnection
  readonly exchange: ClientExchange
  readonly clientResponse: ClientResponse
  /** Undefined when there is no memory for the request. */
  readonly held: HeldRequest | undefined
}

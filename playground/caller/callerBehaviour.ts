/** How a caller handles broken connections and unknown outcomes. The defaults follow the rules of the caller API. */
export interface CallerBehaviour {
  /** Rejoins the request at another address after a broken or silent connection. @default true */
  readonly rejoins?: boolean
  /** Sends a request whose outcome is unknown again under a new id, which can execute it twice. @default false */
  readonly retriesUnknownWithNewId?: boolean
  /** Time after the contract's deadline at which the caller gives up. @default 2000 */
  readonly graceMs?: number
}

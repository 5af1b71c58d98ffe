/** How a caller deals with broken connections and uncertain outcomes; the defaults are what the caller API asks for. */
export interface CallerBehaviour {
  /** Joins the request again after a broken or silent connection. @default true */
  readonly rejoins?: boolean
  /** Sends a request whose outcome is not known again under a new id. @default false */
  readonly retriesUnknownWithNewId?: boolean
  /** Time beyond the contract's deadline after which the caller gives up. @default 2000 */
  readonly graceMs?: number
}

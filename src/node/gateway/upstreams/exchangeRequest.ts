/** A request to an upstream. */
export interface ExchangeRequest {
  readonly method: string
  readonly path: string
  /** Alternating names and values. */
  readonly headers: string[]
  readonly body?: Buffer | string
  /** Id that the response must echo; undefined for calls that carry none. */
  readonly requestId?: string
  /** Whether the upstream answers without giving the request one of its places, as it does for a release of results. */
  readonly takesNoPlace?: boolean
  /** Called right before the first byte is sent; the request is not sent when it returns false. */
  readonly isSendable?: () => boolean
}

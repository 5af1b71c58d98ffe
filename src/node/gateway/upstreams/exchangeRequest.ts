/** A request to an upstream. */
export interface ExchangeRequest {
  readonly method: string
  readonly path: string
  /** Names and values in turn. */
  readonly headers: string[]
  readonly body?: Buffer | string
  /** The answer must echo this id; undefined for calls that carry none. */
  readonly requestId?: string
}

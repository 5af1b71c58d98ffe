/** One HTTP call to an upstream. */
export interface UpstreamCall {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  /** JSON text. */
  readonly body?: string
  /**
   * Uses a connection of its own, which neither waits behind other calls nor has gone silent before.
   *
   * @default false
   */
  readonly freshConnection?: boolean
  /** Asked right before the first byte is sent; false keeps the call from being sent. */
  readonly isSendable?: () => boolean
}

/** An HTTP call to an upstream. */
export interface UpstreamCall {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  /** JSON text. */
  readonly body?: string
  /**
   * Opens a new connection for this call. It does not queue behind other calls and cannot have gone silent earlier.
   *
   * @default false
   */
  readonly freshConnection?: boolean
  /** Called right before the first byte is sent; the call is not sent when it returns false. */
  readonly isSendable?: () => boolean
}

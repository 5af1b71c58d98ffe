/** Why an exchange with an upstream ended without a complete response. */
export interface ExchangeFailure {
  /**
   * `connect`: the request was not started, because the connection could not be opened or was already closed.
   * `broken`: the connection failed before the end of the response.
   * `foreign-answer`: the response belongs to another request.
   * `aborted`: the caller cancelled the request.
   * `no-connection`: the connection limit of the upstream was reached.
   */
  readonly kind: 'connect' | 'broken' | 'foreign-answer' | 'aborted' | 'no-connection'
  /** Whether bytes of the request may have reached the upstream. */
  readonly wasSent: boolean
  readonly detail: string
}

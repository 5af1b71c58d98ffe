/** Why an exchange with an upstream ended without a whole answer. */
export interface ExchangeFailure {
  readonly kind: 'connect' | 'broken' | 'foreign-answer' | 'aborted' | 'no-connection'
  /** Bytes of the request may have reached the upstream. */
  readonly wasSent: boolean
  readonly detail: string
}

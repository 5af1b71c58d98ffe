/** Why an exchange with an upstream ended without a complete response. */
export interface ExchangeFailure {
  readonly kind: 'connect' | 'broken' | 'foreign-answer' | 'aborted' | 'no-connection'
  /** Whether bytes of the request may have reached the upstream. */
  readonly wasSent: boolean
  readonly detail: string
}

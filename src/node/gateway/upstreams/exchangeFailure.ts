/** Why an exchange with an upstream ended without a complete response. */
export interface ExchangeFailure {
  /**
   * `connect`: the request was not started, because the connection could not be opened or was already closed.
   * `broken`: the connection failed before the end of the response.
   * `foreign-answer`: the response belongs to another request.
   * `aborted`: the caller cancelled the request.
   * `no-connection`: the connection limit of the upstream was reached, or a condition forbids to send it anything.
   * `relay-lost`: the host that relayed the request was lost, or none relays; this says nothing of the upstream.
   */
  readonly kind: 'connect' | 'broken' | 'foreign-answer' | 'aborted' | 'no-connection' | 'relay-lost'
  /** Whether bytes of the request may have reached the upstream. */
  readonly wasSent: boolean
  readonly detail: string
  /** Whether the process of the upstream has ended; set when another host that relayed the request has checked it. */
  readonly hasUpstreamEnded?: boolean
  /**
   * Whether the upstream broke the protocol: it sent what no correct upstream sends, or more than an answer may have.
   * Neither this host nor the path can be the cause.
   */
  readonly isProtocolError?: boolean
  /** Whether the request was not started because its connection, open before, was closed. */
  readonly wasOpen?: boolean
  /** Whether a condition forbids to send the upstream anything; this says nothing of how it works. */
  readonly isHeldBack?: boolean
}

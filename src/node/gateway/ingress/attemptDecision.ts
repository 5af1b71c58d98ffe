/** What to do after an attempt has ended. */
export type AttemptDecision =
  /** Sends nothing more: the response was streamed completely, or the request was cancelled. */
  | { readonly action: 'finish' }
  /** Sends the upstream's response to the client, also an error response. */
  | { readonly action: 'deliver' }
  /** Chooses an upstream and sends the request again. */
  | { readonly action: 'send-again' }
  /**
   * Runs the stages again, because the upstream reported that their results are gone, and then sends the request again.
   */
  | { readonly action: 'run-stages-again' }
  /** Sends an error that states that the request was not run, unless an earlier attempt may have run it. */
  | { readonly action: 'refuse', readonly reason: string }
  /** Sends an error that leaves open whether the request was run. */
  | { readonly action: 'fail', readonly reason: string }

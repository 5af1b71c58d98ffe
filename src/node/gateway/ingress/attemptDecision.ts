/** What to do after an attempt has ended. */
export type AttemptDecision =
  | { readonly action: 'finish' }
  | { readonly action: 'deliver' }
  | { readonly action: 'send-again' }
  | { readonly action: 'run-stages-again' }
  /** Sends an error that states that the request was not run. */
  | { readonly action: 'refuse', readonly reason: string }
  /** Sends an error that leaves open whether the request was run. */
  | { readonly action: 'fail', readonly reason: string }

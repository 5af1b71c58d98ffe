/** What follows the end of an attempt. */
export type AttemptDecision =
  | { readonly action: 'finish' }
  | { readonly action: 'deliver' }
  | { readonly action: 'send-again' }
  | { readonly action: 'run-stages-again' }
  /** Says that the request was not run. */
  | { readonly action: 'refuse', readonly reason: string }
  /** Ends without a statement whether the request was run. */
  | { readonly action: 'fail', readonly reason: string }

/** Decision whether the stages of a request may start. A job accepted as late is not expected to meet its target; a declined one is tried in another cell. */
export type StageAdmission =
  | { readonly isAccepted: true, readonly isLate: boolean, readonly finishInMs: number }
  | { readonly isAccepted: false, readonly isDeclined: boolean, readonly reason: string, readonly retryAfterMs: number, readonly finishInMs: number }

/** Whether the stages of a request may start. Late work is not expected to be on time. */
export type StageAdmission =
  | { readonly isAccepted: true, readonly isLate: boolean, readonly finishInMs: number }
  | { readonly isAccepted: false, readonly reason: string, readonly retryAfterMs: number, readonly finishInMs: number }

import type { AdmissionDecision } from './admissionDecision.js'
import type { AdmissionRequest } from './admissionRequest.js'

/** Decides whether an arriving request is admitted; an admitted request is charged to the account's rate limit. */
export interface AdmissionController {
  admit (request: AdmissionRequest, nowMs: number): AdmissionDecision
  /** Must be called once for each admitted request; `attained` is true if the answer was complete and on time. */
  onFinished (request: AdmissionRequest, elapsedMs: number, attained: boolean, nowMs: number): void
}

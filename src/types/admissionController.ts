import type { AdmissionDecision } from './admissionDecision.js'
import type { AdmissionRequest } from './admissionRequest.js'

/** Decides at the door; takes from the account's limit when it admits. */
export interface AdmissionController {
  admit (request: AdmissionRequest, nowMs: number): AdmissionDecision
  /** Must be called once for each admitted request; `attained` tells whether the answer was whole and in time. */
  onFinished (request: AdmissionRequest, elapsedMs: number, attained: boolean, nowMs: number): void
}

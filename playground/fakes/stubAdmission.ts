import type { AdmissionController } from '../../src/types/admissionController.js'
import type { AdmissionDecision } from '../../src/types/admissionDecision.js'

/** Admission controller for tests that returns `decision`, by default admits every request, and counts the finished requests. */
export class StubAdmission implements AdmissionController {
  decision: AdmissionDecision = { admitted: true }
  finishedCount = 0

  admit (): AdmissionDecision {
    return this.decision
  }

  onFinished (): void {
    this.finishedCount++
  }
}

import type { AdmissionController } from '../../src/types/admissionController.js'
import type { AdmissionDecision } from '../../src/types/admissionDecision.js'

/** Admission for tests: admits everything unless `decision` is set. */
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

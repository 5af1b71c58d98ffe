import type { AdmissionController } from '../../src/types/admissionController.js'
import type { StageRouter } from '../../src/types/stageRouter.js'

/** The decisions of one entry host. */
export interface HostPolicy {
  readonly router: StageRouter
  readonly admission: AdmissionController
  /** False: everything is served in order of arrival. */
  readonly usesPriority: boolean
}

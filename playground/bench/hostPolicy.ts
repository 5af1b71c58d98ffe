import type { AdmissionController } from '../../src/types/admissionController.js'
import type { StageRouter } from '../../src/types/stageRouter.js'

/** Routing and admission of one entry host. */
export interface HostPolicy {
  readonly router: StageRouter
  readonly admission: AdmissionController
  /** Whether work is ordered by priority; otherwise all work is served in order of arrival. */
  readonly usesPriority: boolean
}

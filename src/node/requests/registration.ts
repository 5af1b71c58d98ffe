import type { RequestIdentity } from './requestIdentity.js'
import type { ResumeHint } from './resumeHint.js'

/** Registration of a request by its owner in the directory. */
export interface Registration {
  readonly identity: RequestIdentity
  readonly ownerId: string
  readonly epoch: number
  readonly hint?: ResumeHint
  readonly finished: boolean
  /** Id of the dead or silent owner from which the request is taken over. */
  readonly takeoverFrom?: string
}

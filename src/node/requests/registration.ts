import type { RequestIdentity } from './requestIdentity.js'
import type { ResumeHint } from './resumeHint.js'

/** What an owner tells the directory about one request. */
export interface Registration {
  readonly identity: RequestIdentity
  readonly ownerId: string
  readonly epoch: number
  readonly hint?: ResumeHint
  readonly finished: boolean
  /** The dead or silent owner that the request is taken over from. */
  readonly takeoverFrom?: string
}

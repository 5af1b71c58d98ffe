import type { SuspectKind } from './suspectKind.js'

/** Permission, granted to one request of all hosts, to send a refused prompt part or request to an upstream. */
export interface SuspectTrial {
  readonly kind: SuspectKind
  /** Id of the part, or digest of the request. */
  readonly id: string
  readonly crashCount: number
  /** Key of the claim in the store. */
  readonly key: string
}

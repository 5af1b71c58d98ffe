/** What the system states to an upstream about a request, besides the client's own head. */
export interface UpstreamRequestOptions {
  /** The upstream that is meant; another one at the same address refuses. */
  readonly instanceId: string
  readonly timeLeftMs: number
  readonly accountName?: string
  readonly lastEventId?: string
  /** 0 to 9, where 0 is the most urgent. */
  readonly priority?: number
  /** Handles of the stage results that the request takes. */
  readonly inputs: readonly string[]
}

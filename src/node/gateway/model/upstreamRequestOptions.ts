/** What the gateway states to an upstream about a request in addition to the client's own headers. */
export interface UpstreamRequestOptions {
  /** Id of the intended upstream; another one at the same address refuses the request. */
  readonly upstreamId: string
  readonly timeLeftMs: number
  readonly accountName?: string
  /** Id of the last event that the client has, when a stream is resumed. */
  readonly lastEventId?: string
  /** 0 to 9, where 0 is the most urgent. */
  readonly priority?: number
  /** Handles of the stage results that the request takes. */
  readonly inputs: readonly string[]
}

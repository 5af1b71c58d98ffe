/** What a host knows when the first event of a request arrives, or when it gives up waiting for it. */
export interface FirstEventSample {
  readonly engineId: string
  /** Time from sending the request. */
  readonly elapsedMs: number
  /** Prompt tokens that the engine had to read; undefined when the host that placed the request did not state them. */
  readonly readTokens?: number
  /** Expected prefill backlog of the engine when the request was placed. */
  readonly backlogMs: number
  /** Requests that this host had in progress at the engine when it sent the request. */
  readonly inProgress: number
}

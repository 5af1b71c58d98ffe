/** One request that an upstream began to execute. */
export interface SoakExecution {
  readonly requestId: string
  readonly upstreamId: string
  readonly service: string
  readonly method: string
  readonly path: string
  readonly body: string
  readonly account?: string
  /** Whether the client's API key reached the upstream; it must not. */
  readonly hasKey: boolean
  /** Handles of the results of the last stage. */
  readonly inputs: readonly string[]
  readonly timeLeftMs: number
  readonly atMs: number
  /** When the upstream had sent the whole answer; undefined when it did not. */
  readonly endedAtMs?: number
  /** Status of the upstream's answer. */
  readonly status: number
  readonly signature: string
  readonly answer: string
}

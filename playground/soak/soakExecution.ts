/** One request that an upstream began to work on. */
export interface SoakExecution {
  readonly requestId: string
  readonly upstreamId: string
  readonly service: string
  readonly method: string
  readonly path: string
  readonly body: string
  readonly account?: string
  readonly hasKey: boolean
  /** Results of stages that the request was given. */
  readonly inputs: readonly string[]
  readonly timeLeftMs: number
  readonly atMs: number
  /** Status of the upstream's answer. */
  readonly status: number
  readonly signature: string
  readonly answer: string
}

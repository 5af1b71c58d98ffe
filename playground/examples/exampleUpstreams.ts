/** Upstreams of one pool; they are spread over the failure domains in turn. */
export interface ExampleUpstreams {
  readonly pool: string
  readonly type: 'model-engine' | 'stage-pool' | 'plain-service'
  readonly count: number
  /** Options of the stand-in, see playground/standIns/standInOptions.ts. */
  readonly options: Readonly<Record<string, unknown>>
}

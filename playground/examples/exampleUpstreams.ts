/** Upstreams of one pool, distributed round-robin over the failure domains. */
export interface ExampleUpstreams {
  readonly pool: string
  readonly type: 'model-engine' | 'stage-pool' | 'plain-service'
  readonly count: number
  /** Options of the stand-ins, see playground/standIns/standInOptions.ts. */
  readonly options: Readonly<Record<string, unknown>>
}

/** An order to one model runner to load or unload a model. */
export interface PlacementOrder {
  readonly upstreamId: string
  readonly order: 'load' | 'unload'
  readonly model: string
}

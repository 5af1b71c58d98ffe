/** An order to one model runner. */
export interface PlacementOrder {
  readonly upstreamId: string
  readonly order: 'load' | 'unload'
  readonly model: string
}

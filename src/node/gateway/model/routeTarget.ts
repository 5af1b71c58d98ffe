/** One of the services that a route sends to, with its share of the traffic. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** The load from the clients of one failure domain. */
export interface TrafficSource {
  readonly failureDomain: string
  readonly requestsPerSecond: number
  /** Weight of each kind of request. */
  readonly mix: Readonly<Record<string, number>>
  /** Rate over time: 1 + swing * sin(2 pi (t / period + phase)). */
  readonly wave: { readonly swing: number, readonly periodMs: number, readonly phase: number }
  /** Mean number of requests in a clump, which are sent almost at once. */
  readonly clump: number
}

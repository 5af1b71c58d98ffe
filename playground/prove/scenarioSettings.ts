/** Settings of a scenario's deployment and load. */
export interface ScenarioSettings {
  /** Whether stand-ins share one process for each type or have one each. @default 'type' */
  readonly grouping?: 'type' | 'single'
  /** Number of entry hosts; the first ones of the example are used. @default all */
  readonly hostCount?: number
  /** Largest number of upstreams in each pool. @default all */
  readonly upstreamsPerPool?: number
  readonly requestsPerSecond?: number
  /** Share of the calls that are not idempotent which several callers send at the same time with one id. @default 0 */
  readonly raceShare?: number
  /** Request kinds of the load. @default all */
  readonly kinds?: readonly string[]
  /** Network links, between hosts or between callers and hosts, that go through a `SilencingProxy`. */
  readonly links?: ReadonlyArray<'caller' | 'peer'>
  /** Factor on the contracts' rates; large by default, because rate limits have proofs of their own. @default 20 */
  readonly contractRateFactor?: number
  readonly hostListLagMs?: number
  readonly routeLifetimeMs?: number
  /** Idempotent requests must be answered completely, or end with an admission or deadline error, whatever the faults. @default true */
  readonly requiresIdempotentAnswers?: boolean
  /** No call may end with an unknown outcome. @default false */
  readonly forbidsUnknownOutcomes?: boolean
  /** No answer may be restarted and no connection may break. @default false */
  readonly forbidsStreamBreaks?: boolean
  /** No request may fail, be refused, be retried or lose its connection. @default false */
  readonly forbidsInterruption?: boolean
}

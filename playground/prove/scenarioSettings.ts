/** What differs between the deployments and loads of scenarios. */
export interface ScenarioSettings {
  /** @default 'type' */
  readonly grouping?: 'type' | 'single'
  /** Entry hosts, the first ones of the example. @default all */
  readonly hostCount?: number
  /** Upstreams of each pool, at most. @default all */
  readonly upstreamsPerPool?: number
  readonly requestsPerSecond?: number
  /** Share of calls that run at most once which are sent to several hosts at the same time, with one id. @default 0 */
  readonly raceShare?: number
  /** Kinds of the load. @default all */
  readonly kinds?: readonly string[]
  /** Links between hosts, or between callers and hosts, that a proxy of the bench carries. */
  readonly links?: ReadonlyArray<'caller' | 'peer'>
  /** Multiplies the rates of the contracts; limits have proofs of their own. @default 20 */
  readonly contractRateFactor?: number
  readonly hostListLagMs?: number
  readonly routeLifetimeMs?: number
  /** Idempotent requests must be answered whole or be refused by admission, whatever the faults. @default true */
  readonly requiresIdempotentAnswers?: boolean
  /** No call may end with an unknown outcome. @default false */
  readonly forbidsUnknownOutcomes?: boolean
  /** No answer is begun anew and no connection breaks. @default false */
  readonly forbidsStreamBreaks?: boolean
  /** Nothing fails, nothing is refused and no connection is cut. @default false */
  readonly forbidsInterruption?: boolean
}

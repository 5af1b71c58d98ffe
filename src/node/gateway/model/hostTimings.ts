import type { ColdBound } from './coldBound.js'

/** Time limits and retry budget of the deployment. */
export interface HostTimings {
  /** An upstream that announces its stop gets no more requests once this time has passed. */
  readonly drainMs: number
  /** A process that was asked to stop is killed after this time. */
  readonly gracePeriodMs: number
  /** A new configuration must be in force after this time. */
  readonly configurationMs: number
  /** Nothing is sent to an evacuated failure domain once this time has passed; undefined when not stated. */
  readonly evacuationMs?: number
  /** Time after the end of a fault within which a host must have caught up with the store. */
  readonly faultGraceMs: number
  /** Longest time for which clients cache the response to an address query. */
  readonly maxAddressLifetimeMs: number
  /** Retries per request, over all hosts. */
  readonly retryRatio: number
  readonly retryWindowMs: number
  /** Retries that are allowed in a window in addition to the ratio, over all hosts. */
  readonly extraRetries: number
  readonly heartbeatMs: number
  /** Bound for cold upstreams; without it, they take as many requests as others. */
  readonly coldBound?: ColdBound
}

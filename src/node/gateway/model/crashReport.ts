import type { UpstreamCrash } from './upstreamCrash.js'

/** Evidence on prompt parts that a host shares with the others through the store. */
export interface CrashReport {
  readonly crashes: readonly UpstreamCrash[]
  /** Parts that were suspected, and on which an upstream has since begun an answer. */
  readonly soundPartIds: readonly string[]
}

import type { UpstreamCrash } from './upstreamCrash.js'

/** Evidence on prompt parts and requests that a host shares with the others through the store. */
export interface CrashReport {
  readonly crashes: readonly UpstreamCrash[]
  /** Parts that were suspected, and on which an upstream has since begun an answer. */
  readonly soundPartIds: readonly string[]
  /** Requests that were suspected, and to which an upstream has since begun an answer. */
  readonly soundRequestHashes: readonly string[]
}

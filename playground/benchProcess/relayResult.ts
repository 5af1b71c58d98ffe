/**
 * Measurements of one run of a relay variant. CPU time is that of the entry-host process. Figures per
 * token cover the time in which all streams were open, without starts and ends.
 */
export interface RelayResult {
  readonly tokensPerSecond: number
  readonly processorUsPerToken: number
  /** CPU time of the whole run for each request, the relay of its tokens included. */
  readonly processorMsPerRequest: number
  /** Tokens for each second of CPU time: what one core can relay. */
  readonly tokensPerCore: number
  readonly firstTokenP50Ms: number
  readonly firstTokenP99Ms: number
  readonly gapP50Ms: number
  readonly gapP99Ms: number
  readonly faults: readonly string[]
}

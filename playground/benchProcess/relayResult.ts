/**
 * Figures of one run of a relay variant. Processor time is that of the entry-host process. The figures
 * by token are those of the time in which all streams were open, without starts and ends.
 */
export interface RelayResult {
  readonly tokensPerSecond: number
  readonly processorUsPerToken: number
  /** Over the whole run, tokens included. */
  readonly processorMsPerRequest: number
  /** Tokens for each second of processor time: what one core can relay. */
  readonly tokensPerCore: number
  readonly firstTokenP50Ms: number
  readonly firstTokenP99Ms: number
  readonly gapP50Ms: number
  readonly gapP99Ms: number
  readonly faults: readonly string[]
}

/** Figures of one run of a relay variant. Processor time is that of the entry-host process. */
export interface RelayResult {
  /** While all streams ran. */
  readonly tokensPerSecond: number
  readonly processorUsPerToken: number
  readonly processorMsPerRequest: number
  /** Tokens for each second of processor time: what one core can relay. */
  readonly tokensPerCore: number
  readonly firstTokenP50Ms: number
  readonly firstTokenP99Ms: number
  readonly gapP50Ms: number
  readonly gapP99Ms: number
  readonly faults: readonly string[]
}

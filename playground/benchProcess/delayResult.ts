/** Latency of calls through the entry host, and of the same calls sent directly to the stand-ins. */
export interface DelayResult {
  readonly name: 'call' | 'chain'
  readonly stages: number
  readonly directP50Ms: number
  readonly directP99Ms: number
  readonly relayedP50Ms: number
  readonly relayedP99Ms: number
  /** (relayed - direct) / stages. */
  readonly addedPerStageP50Ms: number
  readonly addedPerStageP99Ms: number
  /** CPU time of the entry-host process. */
  readonly processorMsPerRequest: number
  readonly faults: readonly string[]
}

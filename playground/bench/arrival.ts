import type { BenchKind } from './benchKind.js'

/** One request of a trace, including its actual length and service times, which only the oracle policy may use. */
export interface Arrival {
  readonly id: string
  readonly atMs: number
  readonly account: string
  /** Index of the entry host that the caller asks first. */
  readonly hostIndex: number
  readonly kind: BenchKind
  readonly prefixHash: string | undefined
  /** Actual number of generated tokens. */
  readonly tokens: number
  /** Actual factor on the service time of each stage, for its first attempt and for later ones. */
  readonly factors: Readonly<Record<string, readonly [number, number]>>
}

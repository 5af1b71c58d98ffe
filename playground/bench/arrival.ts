import type { BenchKind } from './benchKind.js'

/** One request of a trace, with what only the oracle may know. */
export interface Arrival {
  readonly id: string
  readonly atMs: number
  readonly account: string
  readonly hostIndex: number
  readonly kind: BenchKind
  readonly prefixHash: string | undefined
  /** True number of tokens. */
  readonly tokens: number
  /** True factor on the service time of the first and the second attempt of each stage. */
  readonly factors: Readonly<Record<string, readonly [number, number]>>
}

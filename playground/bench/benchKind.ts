import type { RequestKindSpec } from '../../src/types/requestKindSpec.js'

/** A request kind with its demand and the actual cost of its stages. */
export interface BenchKind extends RequestKindSpec {
  readonly name: string
  /** Requests a second over all accounts at usual demand. */
  readonly rate: number
  /** Usual number of generated tokens; 0 for plain calls. */
  readonly tokens: number
  /** Service time of each stage that is not a generation, in milliseconds. */
  readonly stageMs: Readonly<Record<string, number>>
  /** Whether requests are short, so that their queueing behind long work is measured. */
  readonly short: boolean
}

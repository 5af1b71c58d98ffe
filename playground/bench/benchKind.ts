import type { RequestKindSpec } from '../../src/types/requestKindSpec.js'

/** A request kind with its demand and the true cost of its stages. */
export interface BenchKind extends RequestKindSpec {
  readonly name: string
  /** Requests a second over all accounts at usual demand. */
  readonly rate: number
  /** Usual tokens, 0 for plain calls. */
  readonly tokens: number
  /** Service time of each stage that is not a generation, in milliseconds. */
  readonly stageMs: Readonly<Record<string, number>>
  /** Short work, whose delay behind long work is measured. */
  readonly short: boolean
}

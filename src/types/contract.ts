import type { RequestKindSpec } from './requestKindSpec.js'

/** The contract of one account. All limits of the account are derived from it. */
export interface Contract {
  readonly account: string
  /** SHA-256 digests, in hex, of the bearer tokens of the account. */
  readonly tokenDigests: readonly string[]
  readonly requestsPerSecond: number
  /** Generated tokens per second over all hosts. */
  readonly tokensPerSecond: number
  readonly kinds: Readonly<Record<string, RequestKindSpec>>
}

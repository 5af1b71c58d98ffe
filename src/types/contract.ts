import type { RequestKindSpec } from './requestKindSpec.js'

/** The contract of one account: every limit of the account follows from it. */
export interface Contract {
  readonly account: string
  /** SHA-256 digests, in hex, of the bearer tokens of the account. */
  readonly tokenDigests: readonly string[]
  readonly requestsPerSecond: number
  /** Generated tokens a second over all hosts. */
  readonly tokensPerSecond: number
  readonly kinds: Readonly<Record<string, RequestKindSpec>>
}

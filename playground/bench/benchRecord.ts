import type { PolicyName } from './policyName.js'

/** One measure of one run; `seed` is `all` for the pooled samples of all seeds. */
export interface BenchRecord {
  readonly example: string
  readonly scenario: string
  readonly policy: PolicyName
  readonly seed: number | 'all'
  readonly measure: string
  readonly value: number
}

import type { BenchSettings } from './benchSettings.js'
import type { PolicyName } from './policyName.js'

/** Command-line options of the bench, resolved. */
export interface BenchOptions {
  readonly examples: readonly ('ferry' | 'kouign')[]
  readonly scenarios: readonly string[]
  readonly policies: readonly PolicyName[]
  readonly seeds: readonly number[]
  readonly settings: BenchSettings
  readonly jsonFile: string | undefined
  readonly cost: boolean
}

/**
 * Sizes and faults of a bench run; `--set key=value` changes one. `hosts` or `runners` of 0 means the number of the
 * deployment.
 */
export interface BenchSettings {
  readonly slowFactor: number
  readonly slowShare: number
  readonly crestFactor: number
  readonly reportLagMs: number
  readonly stragglerShare: number
  readonly stragglerLength: number
  readonly hosts: number
  readonly runners: number
  /** Factor on the duration of every scenario. */
  readonly duration: number
}

import type { BenchSettings } from './benchSettings.js'

/** The faults named by docs/design.md, section 2 and 3, at the sizes of the deployments. */
export const defaultSettings: BenchSettings = {
  slowFactor: 8,
  slowShare: 0.25,
  crestFactor: 6,
  reportLagMs: 2000,
  stragglerShare: 0.02,
  stragglerLength: 20,
  hosts: 0,
  runners: 0,
  duration: 1
}

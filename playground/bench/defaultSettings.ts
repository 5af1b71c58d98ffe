import type { BenchSettings } from './benchSettings.js'

/** Default settings: the faults of docs/design.md, sections 2 and 3, and the sizes of the deployments. */
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

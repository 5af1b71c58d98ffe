import type { ProofRun } from './run/proofRun.js'
import type { ScenarioSettings } from './scenarioSettings.js'

/** One deployment under load, with its faults. */
export interface Scenario extends ScenarioSettings {
  readonly name: string
  /** Induces the faults while the load runs; the load ends after it resolves. */
  readonly runFaults: (run: ProofRun) => Promise<void>
}

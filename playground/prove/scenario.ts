import type { ProofRun } from './run/proofRun.js'
import type { ScenarioSettings } from './scenarioSettings.js'

/** A deployment under load and the faults that are injected into it. */
export interface Scenario extends ScenarioSettings {
  readonly name: string
  /** Injects the faults while the load runs; the load is stopped after it resolves. */
  readonly runFaults: (run: ProofRun) => Promise<void>
}

import type { Violation } from '../history/violation.js'
import type { Proof } from '../proof.js'
import type { ScenarioResult } from '../scenarioResult.js'
import type { Scenario } from '../scenario.js'
import type { ProofContext } from './proofContext.js'
import { ProofRun } from './proofRun.js'
import { renderResult } from './renderResult.js'

/** Runs the scenarios of proofs, several deployments at the same time. */
export class ProofRunner {
  private readonly runs = new Set<ProofRun>()
  private isStopped = false

  constructor (private readonly context: ProofContext) {}

  /** Prints each proof's result when it ends; resolves with the number of proofs that failed. */
  async runProofs (proofs: readonly Proof[]): Promise<number> {
    const results = new Map<Proof, ScenarioResult[]>(proofs.map(proof => [proof, []]))
    const queue = proofs.flatMap(proof => proof.scenarios.map(scenario => ({ proof, scenario })))
    let failed = 0
    const runNext = async (): Promise<void> => {
      for (let job = queue.shift(); job !== undefined && !this.isStopped; job = queue.shift()) {
        const { proof, scenario } = job
        const done = results.get(proof) as ScenarioResult[]
        done.push(await this.runScenario(scenario))
        if (done.length < proof.scenarios.length) continue
        const merged = mergeResults(done)
        if (merged.violations.length > 0) failed++
        if (!this.isStopped) console.log(renderResult(proof.name, this.context.seed, merged))
      }
    }
    await Promise.all(Array.from({ length: this.context.concurrentDeployments }, runNext))
    return failed
  }

  /** Stops all deployments. */
  async stop (): Promise<void> {
    this.isStopped = true
    await Promise.all([...this.runs].map(run => run.stop()))
  }

  private async runScenario (scenario: Scenario): Promise<ScenarioResult> {
    let run = new ProofRun(scenario, this.context)
    this.runs.add(run)
    try {
      run = await this.startRun(run, scenario)
      await scenario.runFaults(run)
      const result = await run.checkRun()
      return { ...result, violations: result.violations.map(violation => addScenarioName(violation, scenario)) }
    } catch (error) {
      const violation: Violation = { invariant: 'proof_is_meaningful', subject: scenario.name, detail: `the scenario failed with an error: ${String(error)}`, trace: [] }
      return { requests: 0, faults: [], whole: 0, refused: 0, unknown: 0, errorCounts: new Map(), violations: [violation] }
    } finally {
      await run.stop()
      this.runs.delete(run)
    }
  }

  /** Starts a deployment; tries once more with new ports when another program took one in the meantime. */
  private async startRun (run: ProofRun, scenario: Scenario): Promise<ProofRun> {
    try {
      await run.start()
      return run
    } catch (error) {
      if (!String(error).includes('cannot listen') && !String(error).includes('EADDRINUSE')) throw error
      await run.stop()
      this.runs.delete(run)
      const again = new ProofRun(scenario, this.context)
      this.runs.add(again)
      await again.start()
      return again
    }
  }
}

function addScenarioName (violation: Violation, scenario: Scenario): Violation {
  return { ...violation, subject: `${scenario.name}: ${violation.subject}` }
}

function mergeResults (results: readonly ScenarioResult[]): ScenarioResult {
  const sum = (read: (result: ScenarioResult) => number): number => results.reduce((total, result) => total + read(result), 0)
  return {
    requests: sum(result => result.requests),
    faults: results.flatMap(result => result.faults),
    whole: sum(result => result.whole),
    refused: sum(result => result.refused),
    unknown: sum(result => result.unknown),
    errorCounts: mergeCounts(results.map(result => result.errorCounts)),
    violations: results.flatMap(result => result.violations).sort((a, b) => a.trace.length - b.trace.length)
  }
}

function mergeCounts (lists: ReadonlyArray<ReadonlyMap<string, number>>): ReadonlyMap<string, number> {
  const merged = new Map<string, number>()
  for (const [name, count] of lists.flatMap(list => [...list])) merged.set(name, (merged.get(name) ?? 0) + count)
  return merged
}

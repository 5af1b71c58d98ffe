import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'
import type { ProofRun } from '../run/proofRun.js'
import type { ScenarioSettings } from '../scenarioSettings.js'

const keyValueServiceIds = ['key-value-service']
/** Slows upstreams down so that a fault can occur between a call and its answer. */
const slowFactor = 30
const callSettings: ScenarioSettings = { kinds: ['bell-issue', 'status-read'], raceShare: 0.5, requestsPerSecond: 20, requiresIdempotentAnswers: false }

function listServices (run: ProofRun): readonly string[] {
  return run.deployment.listUpstreams('bell-control')
}

/** Sets faults of the plain service for the whole scenario, and the double execution when `single-run` is disabled. */
async function setServiceFaults (run: ProofRun, faults: Readonly<Record<string, unknown>>): Promise<void> {
  const all = { ...faults, ...(run.isMechanismDisabled('single-run') ? { runTwice: true } : {}) }
  await Promise.all(listServices(run).map(id => run.deployment.setFaults(id, all)))
}

/** Proves that calls that are not idempotent are executed at most once. */
export const atMostOnce: Proof = {
  name: 'at-most-once',
  summary: 'calls sent to several hosts at once with one id run at most once under kills, freezes, lost write answers and outages',
  mechanisms: {
    'same-id': 'callers send a call whose outcome is unknown again under a new id',
    'single-run': 'the plain service runs each call twice'
  },
  scenarios: [{
    ...callSettings,
    name: 'without any fault no call ends unknown',
    requiresIdempotentAnswers: true,
    forbidsUnknownOutcomes: true,
    runFaults: async run => {
      await setServiceFaults(run, {})
      await waitMs(12_000)
    }
  }, {
    ...callSettings,
    name: 'hosts killed and frozen between claim, call and answer',
    runFaults: async run => {
      await setServiceFaults(run, { slowFactor })
      await waitMs(1500)
      for (let round = 0; round < 4; round++) {
        if (round % 2 === 0) await run.killHost(run.chooseHost().id, 500 + 1500 * run.random())
        else await run.freezeHost(run.chooseHost().id, 1000 + 4000 * run.random())
        await waitMs(500 + 1000 * run.random())
      }
    }
  }, {
    ...callSettings,
    name: 'write answers lost',
    runFaults: async run => {
      await setServiceFaults(run, {})
      for (let round = 0; round < 3; round++) {
        await run.setFaults(keyValueServiceIds, { loseAnswers: 0.2 + 0.3 * run.random() }, 3000)
        await waitMs(1000)
      }
    }
  }, {
    ...callSettings,
    name: 'outages of the key-value service',
    runFaults: async run => {
      await setServiceFaults(run, { slowFactor: slowFactor / 3 })
      for (let round = 0; round < 6; round++) {
        await waitMs(500 + 1000 * run.random())
        await run.setFaults(keyValueServiceIds, { outage: true }, 300 + 1500 * run.random())
      }
    }
  }]
}

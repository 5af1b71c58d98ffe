import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'
import type { ProofRun } from '../run/proofRun.js'

type Fault = (run: ProofRun, lastingMs: number) => Promise<unknown>

const keyValueServiceIds = ['key-value-service']
/** A fault lasts 500 ms plus a random part of this time. */
const faultDurationSpreadMs = 6000
const maxGapMs = 2000

function chooseUpstreams (run: ProofRun): readonly string[] {
  return [run.chooseOne(run.deployment.listUpstreams()), run.chooseOne(run.deployment.listUpstreams())]
}

/** Makes the open connections of a randomly chosen link silent. */
async function setLinkSilent (run: ProofRun): Promise<void> {
  const name = run.chooseOne([...run.linkProxies.keys()])
  run.recordFault(`${run.linkProxies.get(name)?.setOpenConnectionsSilent()} connections silent: ${name}`)
}

const faults: readonly Fault[] = [
  (run, lastingMs) => run.runHostFault(host => run.killHost(host, lastingMs / 2)),
  (run, lastingMs) => run.runHostFault(host => run.freezeHost(host, lastingMs)),
  (run, lastingMs) => run.setFaults(keyValueServiceIds, { outage: true }, lastingMs),
  (run, lastingMs) => run.setFaults(keyValueServiceIds, { loseAnswers: 0.1 + 0.4 * run.random() }, lastingMs),
  (run, lastingMs) => run.setFaults(keyValueServiceIds, { delayMs: 1500 * run.random() }, lastingMs),
  (run, lastingMs) => run.setFaults(keyValueServiceIds, { cutFrom: [run.chooseHost().id, run.chooseHost().id] }, lastingMs),
  (run, lastingMs) => run.setFaults(keyValueServiceIds, { silent: true }, lastingMs),
  (run, lastingMs) => run.setFaults(chooseUpstreams(run), { silent: true }, lastingMs),
  (run, lastingMs) => run.setFaults(chooseUpstreams(run), { slowFactor: 2 + 10 * run.random() }, lastingMs),
  (run, lastingMs) => run.setFaults(chooseUpstreams(run), { reorder: true, loseAnswers: 0.2 * run.random() }, lastingMs),
  setLinkSilent,
  run => run.operators.writeConcurrently(run.hosts, 'south-mole', run.random)
]

/** Builds a proof that injects random faults from the seed, one or two at a time, for `seconds`. */
export function buildRandomProof (seconds: number): Proof {
  return {
    name: 'random',
    summary: 'random faults from the seed, one or two at a time',
    mechanisms: {},
    scenarios: [{
      name: 'random',
      raceShare: 0.2,
      links: ['caller', 'peer'],
      requiresIdempotentAnswers: false,
      runFaults: async run => {
        const untilMs = performance.now() + 1000 * seconds
        await waitMs(2000)
        while (performance.now() < untilMs) {
          const chosen = Array.from({ length: run.random() < 0.5 ? 1 : 2 }, () => run.chooseOne(faults))
          await Promise.all(chosen.map(fault => fault(run, 500 + faultDurationSpreadMs * run.random())))
          await waitMs(maxGapMs * run.random())
        }
      }
    }]
  }
}

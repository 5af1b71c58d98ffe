import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'
import type { ProofRun } from '../run/proofRun.js'

const rounds = 3
const gapMs = 3500

/** Makes the open connections to a randomly chosen host silent, several times. */
async function setLinksSilent (run: ProofRun, kind: 'caller' | 'peer'): Promise<void> {
  await waitMs(3000)
  for (let round = 0; round < rounds; round++) {
    const host = run.chooseHost()
    const connections = run.linkProxies.get(`${kind} ${host.id}`)?.setOpenConnectionsSilent() ?? 0
    run.recordFault(`${connections} ${kind} connections to ${host.id} silent`)
    await waitMs(gapMs)
  }
}

/** Makes the open connections of stand-ins silent, several times; new ones work. */
async function setStandInsSilent (run: ProofRun, chooseIds: () => readonly string[]): Promise<void> {
  await waitMs(3000)
  for (let round = 0; round < rounds; round++) await run.setFaults(chooseIds(), { silent: true }, gapMs)
}

/** Proves that the invariants hold when open connections stay open but deliver nothing any more. */
export const silentLinks: Proof = {
  name: 'silent-links',
  summary: 'open connections stay open but deliver nothing any more, on each link: caller, peer, engine, stage pool and plain service, key-value service and watch',
  mechanisms: { 'silence-detection': 'callers wait on a silent connection until they give up' },
  scenarios: [
    { name: 'silent caller links', links: ['caller'], runFaults: run => setLinksSilent(run, 'caller') },
    { name: 'silent peer links', links: ['peer'], raceShare: 0.3, runFaults: run => setLinksSilent(run, 'peer') },
    { name: 'silent engine links', runFaults: run => setStandInsSilent(run, () => [run.chooseOne(run.deployment.listUpstreams('runners')), run.chooseOne(run.deployment.listUpstreams('runners'))]) },
    { name: 'silent stage pool and plain service links', runFaults: run => setStandInsSilent(run, () => ['crossing-log', 'tide-board', 'bell-control'].map(pool => run.chooseOne(run.deployment.listUpstreams(pool)))) },
    {
      name: 'silent key-value service links and watches',
      runFaults: async run => {
        await waitMs(2000)
        for (let round = 0; round < rounds; round++) {
          run.recordFault('connections to the key-value service silent')
          await run.deployment.setFaults('key-value-service', { silent: true })
          await waitMs(500 * run.random())
          await run.operators.writeUntilInForce(run.hosts, 'varna-pilots', run.random)
        }
      }
    }
  ]
}

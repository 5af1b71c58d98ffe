import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'

const pools = ['crossing-log', 'crew-roster', 'tide-board', 'bell-control']

/** Proves that every caller gets its own answer when upstream answers are slow, out of order or lost. */
export const lateAnswers: Proof = {
  name: 'late-answers',
  summary: 'upstream answers are out of order, lost or slow; every caller gets the complete answer to its own request',
  mechanisms: { 'own-answers': 'upstreams answer some calls with the output of another one' },
  scenarios: [{
    name: 'answers out of order and lost',
    raceShare: 0.3,
    runFaults: async run => {
      const ids = pools.flatMap(pool => run.deployment.listUpstreams(pool))
      const crossed = run.isMechanismDisabled('own-answers') ? { crossAnswers: 0.2 } : {}
      await waitMs(1500)
      await run.setFaults(ids, { reorder: true, ...crossed }, 5000)
      await run.setFaults([...ids.slice(0, 8), ...run.deployment.listUpstreams('runners')], { reorder: true, loseAnswers: 0.05, ...crossed }, 5000)
    }
  }, {
    name: 'slow upstreams',
    runFaults: async run => {
      await waitMs(1500)
      for (let round = 0; round < 3; round++) {
        const slow = [...pools, 'runners'].map(pool => run.chooseOne(run.deployment.listUpstreams(pool)))
        await run.setFaults(slow, { slowFactor: 4 + 16 * run.random(), reorder: true }, 3500)
        await waitMs(500)
      }
    }
  }]
}

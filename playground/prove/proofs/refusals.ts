import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'

const keyValueServiceIds = ['key-value-service']

/** Proves that requests refused with `not_run` were not executed. */
export const refusals: Proof = {
  name: 'refusals',
  summary: 'requests refused with not_run during kills, freezes, network cuts and outages do not appear in the execution logs',
  mechanisms: { 'honest-upstreams': 'plain services execute some calls and then refuse them' },
  scenarios: [{
    name: 'outages and cuts while hosts die',
    raceShare: 0.3,
    requiresIdempotentAnswers: false,
    runFaults: async run => {
      if (run.isMechanismDisabled('honest-upstreams')) await Promise.all(run.deployment.listUpstreams('bell-control').map(id => run.deployment.setFaults(id, { refuseAfterRun: 0.9 })))
      await waitMs(2000)
      await run.setFaults(keyValueServiceIds, { outage: true }, 2500)
      await Promise.all([run.killHost(run.chooseHost().id, 1500), run.setFaults(keyValueServiceIds, { outage: true }, 1500)])
      await run.setFaults(keyValueServiceIds, { cutFrom: [run.chooseHost().id, run.chooseHost().id] }, 3500)
      await Promise.all([run.freezeHost(run.chooseHost().id, 3000), run.setFaults(keyValueServiceIds, { loseAnswers: 0.5 }, 2500)])
      await waitMs(1000)
    }
  }, {
    name: 'load beyond the capacity of a pool',
    kinds: ['bell-issue', 'status-read', 'signal-query'],
    requestsPerSecond: 60,
    contractRateFactor: 0.5,
    raceShare: 0.2,
    requiresIdempotentAnswers: false,
    runFaults: async run => {
      const ids = run.deployment.listUpstreams('bell-control')
      if (run.isMechanismDisabled('honest-upstreams')) await Promise.all(ids.map(id => run.deployment.setFaults(id, { refuseAfterRun: 0.9 })))
      else await run.setFaults(ids, { slowFactor: 40 }, 6000)
      await Promise.all([run.killHost(run.chooseHost().id, 1500), run.setFaults(keyValueServiceIds, { delayMs: 600 }, 3000)])
    }
  }]
}

import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'

/** One killed host and one outage in a small deployment; the test suite runs it. */
export const shortProof: Proof = {
  name: 'short',
  summary: 'a host is killed and the key-value service has an outage',
  mechanisms: { rejoin: 'callers do not rejoin after a broken connection' },
  scenarios: [{
    name: 'short',
    hostCount: 3,
    upstreamsPerPool: 2,
    requestsPerSecond: 12,
    kinds: ['signal-query', 'bell-issue', 'status-read'],
    raceShare: 0.3,
    runFaults: async run => {
      await waitMs(1000)
      await Promise.all([
        run.killHost(run.chooseHost().id, 1000),
        run.setFaults(['key-value-service'], { outage: true }, 1500)
      ])
      await waitMs(1000)
    }
  }]
}

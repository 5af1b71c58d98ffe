import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'

/** Proves that the invariants hold when entry hosts are killed while they stream. */
export const hostKilled: Proof = {
  name: 'host-killed',
  summary: 'entry hosts are killed mid-stream; callers rejoin elsewhere with the same id',
  mechanisms: { rejoin: 'callers do not rejoin after a broken connection' },
  scenarios: [{
    name: 'host-killed',
    runFaults: async run => {
      await waitMs(3000)
      for (let kill = 0; kill < 4; kill++) {
        await run.killHost(run.chooseHost().id, 1000 + 2000 * run.random())
        await waitMs(1500)
      }
    }
  }]
}

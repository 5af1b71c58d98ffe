import { setTimeout as waitMs } from 'node:timers/promises'
import { proveConstants } from '../constants.js'
import type { Proof } from '../proof.js'

/** Proves that the invariants hold when an entry host is suspended for longer than every timeout and then resumes. */
export const hostFrozen: Proof = {
  name: 'host-frozen',
  summary: 'an entry host is frozen for 8 s, longer than every timeout, then resumed; callers rejoin elsewhere',
  mechanisms: { rejoin: 'callers do not rejoin after a silent connection' },
  scenarios: [{
    name: 'host-frozen',
    raceShare: 0.3,
    runFaults: async run => {
      await waitMs(3000)
      for (let round = 0; round < 2; round++) {
        await run.freezeHost(run.chooseHost().id, proveConstants.freezeMs)
        await waitMs(2500)
      }
    }
  }]
}

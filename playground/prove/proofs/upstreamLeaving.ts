import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'

const hostListLagMs = 10_000

/** Proves that a leaving upstream receives no new work after 3 s. */
export const upstreamLeaving: Proof = {
  name: 'upstream-leaving',
  summary: 'a leaving upstream gets no new work after 3 s although host list and load reports lag; streams on it end or resume',
  mechanisms: { 'leaving-signals': 'a leaving upstream gives no signal and takes work' },
  scenarios: [{
    name: 'upstream-leaving',
    hostListLagMs,
    forbidsStreamBreaks: true,
    runFaults: async run => {
      await waitMs(3000)
      for (const pool of ['runners', 'crossing-log', 'bell-control', 'runners']) {
        await run.setLeaving(run.chooseOne(run.listStayingUpstreams(pool)))
        await waitMs(2500)
      }
      await waitMs(hostListLagMs)
    }
  }]
}

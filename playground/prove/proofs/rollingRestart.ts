import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'

/** Time from SIGTERM to SIGKILL. */
const maxDrainMs = 25_000
/** Longer than the lifetime of a route answer (2 s in this scenario). */
const routeSettleMs = 3000

/** Proves that no request fails, is refused or loses its connection while all entry hosts are restarted one after another under load. */
export const rollingRestart: Proof = {
  name: 'rolling-restart',
  summary: 'all entry hosts are restarted one after another; callers keep their route answer for its lifetime, and nothing fails or is refused',
  mechanisms: { drain: 'hosts are killed in place of a graceful shutdown' },
  scenarios: [{
    name: 'rolling-restart',
    routeLifetimeMs: 2000,
    forbidsInterruption: true,
    runFaults: async run => {
      await waitMs(3000)
      for (const host of run.hosts) {
        run.recordFault(`${host.id} told to stop`)
        if (run.isMechanismDisabled('drain')) await run.deployment.kill(host.id)
        else {
          const code = await run.deployment.stopProcess(host.id, maxDrainMs)
          if (code !== 0) run.addViolation({ invariant: 'planned_stop_is_seamless', subject: host.id, detail: `ended with exit code ${code}`, trace: [] })
        }
        await run.deployment.startProcess(host.id)
        run.recordFault(`${host.id} started again`)
        // The next host is stopped only after callers have read a route that includes this one.
        await waitMs(routeSettleMs)
      }
    }
  }]
}

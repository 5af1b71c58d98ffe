import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'

const maxDrainMs = 25_000
/** Longer than the lifetime of a route answer. */
const routeSettleMs = 3000

/** All entry hosts are restarted one after another under full load. */
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
        // The next host follows when callers have learned of this one.
        await waitMs(routeSettleMs)
      }
    }
  }]
}

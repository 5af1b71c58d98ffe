import { setTimeout as waitMs } from 'node:timers/promises'
import type { Proof } from '../proof.js'

/** Proves that the invariants hold when a whole failure domain fails at once. */
export const domainLost: Proof = {
  name: 'domain-lost',
  summary: 'all entry hosts and upstreams of one failure domain are killed at once and come back later',
  mechanisms: { rejoin: 'callers do not rejoin after a broken connection' },
  scenarios: [{
    name: 'domain-lost',
    grouping: 'single',
    runFaults: async run => {
      await waitMs(3000)
      const domain = run.chooseOne(run.example.failureDomains)
      const hosts = run.hosts.filter(host => host.failureDomain === domain).map(host => host.id)
      const upstreams = run.deployment.listUpstreamsInDomain(domain)
      run.recordFault(`${domain} lost: ${[...hosts, ...upstreams].join(', ')}`)
      await Promise.all([...hosts, ...upstreams].map(id => run.deployment.kill(id)))
      await waitMs(8000)
      await Promise.all([...upstreams, ...hosts].map(id => run.deployment.startProcess(id)))
      run.recordFault(`${domain} is back`)
      await waitMs(2000)
    }
  }]
}

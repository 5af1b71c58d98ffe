import { setTimeout as waitMs } from 'node:timers/promises'
import { soakConstants } from './constants.js'
import type { SoakDeployment } from './soakDeployment.js'
import type { SoakFault } from './soakFault.js'
import type { SoakHost } from './soakHost.js'

/**
 * Takes a copy of the store and lets it come back from it after `forMs` and a moment in which it is away. The operator and
 * the upstreams write again what they wrote since. Hosts that are lost start again once the store is back.
 */
export async function runRestoreFault (
  { type, forMs }: SoakFault,
  host: SoakHost,
  deployment: SoakDeployment
): Promise<void> {
  const { store, hosts } = deployment
  const others = hosts.filter(other => other !== host)
  const copy = store.createCopy()
  await waitMs(forMs)
  const recordEnd = deployment.recordDisruption('store', '')
  store.fault = 'reset'
  store.closeConnections()
  if (type === 'store-restored-beside-host') await killHosts([host])
  await waitMs(soakConstants.storeAwayMs)
  store.applyCopy(copy)
  deployment.writeAgain()
  store.fault = 'none'
  if (type === 'store-restored-beside-hosts') await killHosts(others)
  await waitMs(soakConstants.storeAwayMs)
  for (const other of hosts) {
    if (!other.process.isRunning) other.startProcess()
  }
  await waitMs(soakConstants.storeReturnMs)
  recordEnd()
}

async function killHosts (hosts: readonly SoakHost[]): Promise<void> {
  await Promise.all(hosts.map(async host => { await host.process.kill() }))
}

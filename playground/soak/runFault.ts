import { setTimeout as waitMs } from 'node:timers/promises'
import { changeFaultTypes } from './changeFaultTypes.js'
import { pouringFaultTypes } from './pouringFaultTypes.js'
import { restoreFaultTypes } from './restoreFaultTypes.js'
import { runChangeFault } from './runChangeFault.js'
import { runPouringFault } from './runPouringFault.js'
import { runRestoreFault } from './runRestoreFault.js'
import { runSignalFault } from './runSignalFault.js'
import { signalFaultTypes } from './signalFaultTypes.js'
import { soakConstants } from './constants.js'
import type { LinkFault } from './linkFault.js'
import type { SoakDeployment } from './soakDeployment.js'
import type { SoakFault } from './soakFault.js'
import type { SoakHost } from './soakHost.js'
import type { SoakUpstream } from './soakUpstream.js'
import type { StoreFault } from '../platform/storeFault.js'
import type { UpstreamFault } from './upstreamFault.js'

/** Time from the moment an upstream reports that it drains until it stops. */
const drainMs = soakConstants.drainMs + soakConstants.leaveMarginMs

/** Injects a fault and reverts it; resolves when it has ended. */
export async function runFault (fault: SoakFault, deployment: SoakDeployment): Promise<void> {
  const { type, target, forMs } = fault
  const host = deployment.hosts[target % deployment.hosts.length]!
  const upstream = deployment.upstreams[target % deployment.upstreams.length]!
  if (type === 'upstream-drained') return await drainUpstream(upstream, deployment)
  if (type === 'domain-evacuated') return await runEvacuation(upstream.options.domain, forMs, deployment)
  if (isPouringFault(type)) return await runPouringFault(type, upstream.options.service, forMs, deployment)
  if (isChangeFault(type)) return await runChangeFault(fault, host, deployment)
  if (isRestoreFault(type)) return await runRestoreFault(fault, host, deployment)
  if (isSignalFault(type)) return await runSignalFault(fault, host, deployment)
  if (type.startsWith('host-')) return await runHostFault(type.slice('host-'.length), host, forMs)
  if (type === 'store-history') {
    deployment.recordDisruption('store', '')()
    return deployment.store.removeHistory()
  }
  if (type.startsWith('store-link-')) {
    const recordEnd = deployment.recordDisruption('host', host.ipAddress)
    await runLinkFault(resolveLinkFault(type.slice('store-link-'.length), target), host.storeProxy, forMs)
    return recordEnd()
  }
  if (type.startsWith('store-')) return await runStoreFault(type.slice('store-'.length) as StoreFault, deployment, forMs)
  if (type.startsWith('upstream-link-')) {
    const recordEnd = deployment.recordDisruption('upstream', upstream.options.id)
    await runLinkFault(resolveLinkFault(type.slice('upstream-link-'.length), target), upstream.proxy, forMs)
    return recordEnd()
  }
  if (type === 'upstream-replaced') return await killAndReplaceUpstream(upstream, deployment)
  if (type === 'configuration') return deployment.writeConfiguration(target % 2 === 0 ? 'shop' : 'shop-b')
  const recordEnd = deployment.recordDisruption('upstream', upstream.options.id)
  upstream.fault = type.slice('upstream-'.length) as UpstreamFault
  await waitMs(forMs)
  upstream.fault = 'none'
  recordEnd()
}

function isSignalFault (type: SoakFault['type']): boolean {
  return (signalFaultTypes as ReadonlyArray<SoakFault['type']>).includes(type)
}

function isRestoreFault (type: SoakFault['type']): boolean {
  return (restoreFaultTypes as ReadonlyArray<SoakFault['type']>).includes(type)
}

function isPouringFault (type: SoakFault['type']): type is typeof pouringFaultTypes[number] {
  return (pouringFaultTypes as ReadonlyArray<SoakFault['type']>).includes(type)
}

function isChangeFault (type: SoakFault['type']): boolean {
  return (changeFaultTypes as ReadonlyArray<SoakFault['type']>).includes(type)
}

async function runHostFault (name: string, host: SoakHost, forMs: number): Promise<void> {
  if (!host.process.isRunning) return
  if (name === 'reloaded') {
    await host.reloadProcess()
    return
  }
  if (name === 'frozen') {
    host.process.freeze()
    await waitMs(forMs)
    host.process.resume()
    return
  }
  if (name === 'stopped') await host.stopProcess()
  else await host.process.kill()
  await waitMs(forMs)
  host.startProcess()
}

/** Resolves the link fault of a fault type; the parity of `target` gives the direction of `one-way`. */
function resolveLinkFault (name: string, target: number): LinkFault {
  if (name === 'one-way') return target % 2 === 0 ? 'silent-to-target' : 'silent-from-target'
  return name as LinkFault
}

async function runLinkFault (fault: LinkFault, proxy: { applyFault (fault: LinkFault): void }, forMs: number): Promise<void> {
  proxy.applyFault(fault)
  await waitMs(forMs)
  proxy.applyFault('none')
}

async function runStoreFault (fault: StoreFault, deployment: SoakDeployment, forMs: number): Promise<void> {
  const { store } = deployment
  const recordEnd = deployment.recordDisruption('store', '')
  store.fault = fault
  store.closeConnections()
  await waitMs(forMs)
  store.fault = 'none'
  recordEnd()
}

/** Ends an upstream as a crash does and starts another one of its service. */
async function killAndReplaceUpstream (upstream: SoakUpstream, deployment: SoakDeployment): Promise<void> {
  deployment.removeUpstream(upstream)
  await deployment.addUpstream(upstream.options.service, upstream.options.type, upstream.options.version)
}

/** The domain stays evacuated beyond the time within which hosts must know of it. */
async function runEvacuation (domain: string, forMs: number, deployment: SoakDeployment): Promise<void> {
  const key = `op/evacuate/${domain}`
  deployment.store.write(key, {})
  const recordEnd = deployment.recordDisruption('evacuation', domain)
  await waitMs(soakConstants.evacuationMs + forMs)
  recordEnd()
  deployment.store.remove(key)
}

async function drainUpstream (upstream: SoakUpstream, deployment: SoakDeployment): Promise<void> {
  await deployment.addUpstream(upstream.options.service, upstream.options.type, upstream.options.version)
  deployment.writeEntry(upstream, 'draining')
  await waitMs(drainMs)
  if (deployment.upstreams.includes(upstream)) deployment.removeUpstream(upstream)
}

import { createServer } from 'node:net'
import { setTimeout as waitMs } from 'node:timers/promises'
import { soakConstants } from './constants.js'
import type { Server } from 'node:net'
import type { SoakDeployment } from './soakDeployment.js'
import type { SoakFault } from './soakFault.js'
import type { SoakHost } from './soakHost.js'

/** Ports that other programs take: some of the range for other hosts, and the one for metrics. */
const takenPorts = [7300, 7301, 7304, 9464] as const
const minReleasedEngines = 2

/** Injects one of `changeFaultTypes`; resolves when it has ended. */
export async function runChangeFault (
  { type, forMs, target }: SoakFault,
  host: SoakHost,
  deployment: SoakDeployment
): Promise<void> {
  if (type === 'engines-released') return await runRelease(forMs, deployment)
  if (type === 'hosts-lost') return await killHosts(target, deployment)
  await host.stopProcess()
  if (type === 'start-beside-ports') return await startBesidePorts(forMs, host)
  await startBesideBuilds(forMs, host, deployment)
}

async function runRelease (forMs: number, deployment: SoakDeployment): Promise<void> {
  const engines = deployment.upstreams.filter(({ options }) => options.type === 'engine')
  const oldest = engines[0]?.options.version
  const leaving = engines.filter(({ options }) => options.version === oldest)
  const version = deployment.createVersion()
  const count = Math.max(leaving.length, minReleasedEngines)
  for (let i = 0; i < count; i++) await deployment.addUpstream('engines', 'engine', version)
  await waitMs(forMs)
  const stillThere = leaving.filter(upstream => deployment.upstreams.includes(upstream))
  for (const upstream of stillThere) deployment.writeEntry(upstream, 'draining')
  await waitMs(soakConstants.drainMs + soakConstants.leaveMarginMs)
  for (const upstream of stillThere) {
    if (deployment.upstreams.includes(upstream)) deployment.removeUpstream(upstream)
  }
}

async function killHosts (target: number, { hosts }: SoakDeployment): Promise<void> {
  await Promise.all(hosts.map(async host => { await host.process.kill() }))
  await waitMs(target)
  for (const host of hosts) host.startProcess()
}

async function startBesidePorts (forMs: number, host: SoakHost): Promise<void> {
  const servers = await Promise.all(takenPorts.map(async port => await openIfFree(host.ipAddress, port)))
  host.startProcess()
  await waitMs(forMs)
  for (const server of servers) server?.close()
}

async function startBesideBuilds (forMs: number, host: SoakHost, { builds }: SoakDeployment): Promise<void> {
  host.startProcess()
  await builds?.run(forMs)
}

/** Resolves with undefined when another process listens there. */
async function openIfFree (host: string, port: number): Promise<Server | undefined> {
  const server = createServer(socket => { socket.destroy() })
  return await new Promise(resolve => {
    server.once('error', () => { resolve(undefined) })
    server.listen({ host, port }, () => { resolve(server) })
  })
}

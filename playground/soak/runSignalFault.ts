import { setTimeout as waitMs } from 'node:timers/promises'
import { buildDraft } from './buildDraft.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { RawConnection } from './rawConnection.js'
import { soakConstants } from './constants.js'
import type { SoakDeployment } from './soakDeployment.js'
import type { SoakFault } from './soakFault.js'
import type { SoakHost } from './soakHost.js'
import type { Random } from '../../src/types/random.js'

const maxSignals = 6
/** Connections that send a large body at once, and those among them that send its last byte. */
const largeBodies = { connections: 120, completed: 6 } as const

/** Injects one of `signalFaultTypes`; resolves when it has ended and the host's process has been started. */
export async function runSignalFault (fault: SoakFault, host: SoakHost, deployment: SoakDeployment): Promise<void> {
  const { type, atMs, forMs, target } = fault
  const random = createSeededRandom(target)
  switch (type) {
    case 'configurations': return await sendSeries(random, forMs, async () => {
      deployment.writeConfiguration(random() < 0.5 ? 'shop' : 'shop-b')
    })
    case 'reloads': return await sendReloads(random, forMs, host)
    case 'large-bodies': return await sendLargeBodies(`burst-${target}-${Math.round(atMs)}`, forMs, host, deployment)
    case 'rolling-stops': return await runRollingStops(fault, random, deployment)
    case 'start-reloaded':
    case 'start-stopped':
      await host.stopProcess()
      if (!host.startProcess()) return
      await host.waitRuntime()
      await waitMs(random() * soakConstants.startMs)
      if (type === 'start-reloaded') return await sendReloads(random, soakConstants.startMs, host)
      await host.stopProcess()
      break
    default: await runStopFault(type, random, host)
  }
  await waitMs(forMs)
  host.startProcess()
}

async function runStopFault (type: SoakFault['type'], random: Random, host: SoakHost): Promise<void> {
  const process = host.process
  const stopped = host.stopProcess(process)
  const spanMs = random() * soakConstants.gracePeriodMs * 0.8
  if (type === 'stop-repeated') await sendSeries(random, spanMs, async () => { void host.stopProcess(process) })
  if (type === 'stop-reloaded') await sendReloads(random, spanMs, host)
  if (type === 'stop-overlapped') {
    await waitMs(spanMs)
    host.startProcess(true)
  }
  if (type === 'stop-killed') {
    await waitMs(spanMs)
    await process.kill()
  }
  await stopped
}

async function sendReloads (random: Random, spanMs: number, host: SoakHost): Promise<void> {
  const process = host.process
  await sendSeries(random, spanMs, async () => { await host.reloadProcess(process) })
}

/** Calls `send` several times at random intervals within the span. */
async function sendSeries (random: Random, spanMs: number, send: () => Promise<void>): Promise<void> {
  const count = 1 + Math.floor(random() * maxSignals)
  for (let i = 0; i < count; i++) {
    await waitMs(random() * spanMs / count)
    await send()
  }
}

async function runRollingStops (
  { forMs, target }: SoakFault,
  random: Random,
  { hosts }: SoakDeployment
): Promise<void> {
  const count = Math.max(1, Math.floor(hosts.length / 2))
  const intervalMs = random() * forMs / count
  await Promise.all(Array.from({ length: count }, async (_, i) => {
    const host = hosts[(target + i) % hosts.length]!
    await waitMs(i * intervalMs)
    await host.stopProcess()
    await waitMs(random() * forMs)
    host.startProcess()
  }))
}

/** Sends large bodies that are all held back at their last byte; a few are completed, the other clients leave. */
async function sendLargeBodies (
  client: string,
  heldMs: number,
  host: SoakHost,
  { requests }: SoakDeployment
): Promise<void> {
  const body = 'x'.repeat(soakConstants.maxBodyBytes)
  const timeoutMs = soakConstants.clientTimeoutMs
  await Promise.all(Array.from({ length: largeBodies.connections }, async (_, i) => {
    const connection = new RawConnection(host.clientAddress)
    const isCompleted = i < largeBodies.completed
    requests.push(...await connection.sendBatch([buildDraft({ kind: 'once', client, count: i, body })], {
      form: 'burst',
      heldMs: isCompleted ? Math.min(heldMs, timeoutMs / 2) : Infinity,
      timeoutMs: isCompleted ? timeoutMs : Math.min(heldMs, timeoutMs)
    }))
    connection.close()
  }))
}

import { setTimeout as waitMs } from 'node:timers/promises'
import { buildFaultPlan } from './buildFaultPlan.js'
import { checkSoak } from './checkSoak.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { runFault } from './runFault.js'
import { soakConstants } from './constants.js'
import { SoakClient } from './soakClient.js'
import { SoakDeployment } from './soakDeployment.js'
import type { SoakOptions } from './soakOptions.js'
import type { SoakRequest } from './soakRequest.js'
import type { SoakResult } from './soakResult.js'

/** Number of loopback networks that concurrent runs are spread over. */
const networkCount = 250

/** Runs host processes under the faults that follow from a seed, and checks what clients and upstreams recorded. */
export async function runSoak ({ program, seed, hosts, clients, faults, faultMs }: SoakOptions): Promise<SoakResult> {
  const deployment = new SoakDeployment()
  const requests: SoakRequest[] = []
  const plan = buildFaultPlan(seed, faultMs, faults)
  try {
    await deployment.start(program, hosts, seed % networkCount)
    await deployment.waitReady()
    const running = Array.from({ length: clients }, (_, i) => new SoakClient({
      name: `s${seed}c${i}`,
      directories: deployment.hosts.map(host => host.directoryAddress),
      random: createSeededRandom(seed * 1000 + i),
      onRequest: request => { requests.push(request) }
    }))
    const ended = running.map(async client => { await client.run() })
    await Promise.all(plan.map(async fault => {
      await waitMs(fault.atMs)
      await runFault(fault, deployment)
    }))
    await waitMs(soakConstants.recoveryMs)
    const endedAtMs = performance.now()
    for (const client of running) client.stop()
    await Promise.all(ended)
    const { executions, pieces, allowedServices } = deployment
    return {
      seed,
      plan,
      requests: requests.length,
      served: requests.filter(request => request.status === 200 && request.isComplete).length,
      runs: executions.length,
      violations: checkSoak({ requests, executions, pieces, allowedServices, endedAtMs }),
      logs: deployment.hosts.map(host => ({ host: host.id, lines: host.process.listOutputLines() }))
    }
  } finally {
    await deployment.stop()
  }
}

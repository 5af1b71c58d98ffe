import { setTimeout as waitMs } from 'node:timers/promises'
import { buildFaultPlan } from './buildFaultPlan.js'
import { changeFaultTypes } from './changeFaultTypes.js'
import { checkSoak } from './checkSoak.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { domainFaultTypes } from './domainFaultTypes.js'
import { pouringFaultTypes } from './pouringFaultTypes.js'
import { restoreFaultTypes } from './restoreFaultTypes.js'
import { runFault } from './runFault.js'
import { soakConstants } from './constants.js'
import { signalFaultTypes } from './signalFaultTypes.js'
import { soakFaultTypes } from './soakFaultTypes.js'
import { RawClient } from './rawClient.js'
import { SoakClient } from './soakClient.js'
import { SoakDeployment } from './soakDeployment.js'
import type { SoakOptions } from './soakOptions.js'
import type { SoakRequest } from './soakRequest.js'
import type { SoakResult } from './soakResult.js'

/** Number of loopback networks that concurrent runs are spread over: their seeds have to differ modulo this number. */
const networkCount = 250
/** Keep the parts of a plan independent. */
const signalSeedOffset = 1_000_000
const changeSeedOffset = 2_000_000
const domainSeedOffset = 3_000_000
const pouringSeedOffset = 4_000_000
const restoreSeedOffset = 5_000_000

/** Runs host processes under the faults that follow from a seed, and checks what clients and upstreams recorded. */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  const { seed, faultMs } = options
  const deployment = new SoakDeployment()
  const plan = [
    ...buildFaultPlan(seed, faultMs, options.faults, soakFaultTypes),
    ...buildFaultPlan(seed + signalSeedOffset, faultMs, options.signals, signalFaultTypes),
    ...buildFaultPlan(seed + changeSeedOffset, faultMs, options.changes, changeFaultTypes),
    ...buildFaultPlan(seed + domainSeedOffset, faultMs, options.evacuations ?? 0, domainFaultTypes),
    ...buildFaultPlan(seed + pouringSeedOffset, faultMs, options.pourings ?? 0, pouringFaultTypes),
    ...buildFaultPlan(seed + restoreSeedOffset, faultMs, options.restores ?? 0, restoreFaultTypes)
  ].sort((a, b) => a.atMs - b.atMs)
  try {
    await deployment.start(options, seed % networkCount)
    await deployment.waitReady()
    const clients = Array.from({ length: options.clients + options.pipeliningClients }, (_, i) => {
      const Client = i < options.clients ? SoakClient : RawClient
      return new Client({
        name: `s${seed}c${i}`,
        directories: deployment.hosts.map(host => host.directoryAddress),
        random: createSeededRandom(seed * 1000 + i),
        resumesStreams: options.changes + (options.restores ?? 0) > 0,
        onRequest: request => { deployment.requests.push(request) }
      })
    })
    const ended = clients.map(async client => { await client.run() })
    const replacement = options.replacedProgram === undefined ? undefined : deployment.updatePrograms(faultMs)
    await Promise.all([replacement, ...plan.map(async fault => {
      await waitMs(fault.atMs)
      await runFault(fault, deployment)
    })])
    await waitMs(soakConstants.recoveryMs)
    const endedAtMs = performance.now()
    for (const client of clients) client.stop()
    await Promise.all(ended)
    await deployment.stopHosts()
    const records = deployment.buildRecords(endedAtMs)
    const slowed = records.runs.flatMap(run => run.slowed)
    return {
      seed,
      plan,
      disruptions: records.disruptions,
      requests: records.requests.length,
      served: records.requests.filter(request => request.status === 200 && request.isComplete).length,
      runs: records.executions.length,
      ...countResumptions(records.requests),
      peakMemoryMb: Math.round(Math.max(...records.runs.map(run => run.peakMemoryMb))),
      slowedMs: Math.round(slowed.reduce((sum, { fromMs, toMs }) => sum + toMs - fromMs, 0)),
      heldUpMs: Math.round(records.heldUp.reduce((sum, { fromMs, toMs }) => sum + toMs - fromMs, 0)),
      violations: checkSoak(records),
      logs: deployment.hosts.map(host => ({ host: host.id, lines: host.listLogLines() }))
    }
  } finally {
    await deployment.stop()
  }
}

function countResumptions (requests: readonly SoakRequest[]): Pick<SoakResult, 'resumed' | 'wentOn'> {
  const resumed = requests.filter(request => request.resumedId !== undefined)
  return { resumed: resumed.length, wentOn: resumed.filter(request => request.status === 200).length }
}

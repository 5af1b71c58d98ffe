import { setTimeout as waitMs } from 'node:timers/promises'
import type { Deployment } from '../processes/deployment.js'
import { benchConstants } from './constants.js'
import type { IdleSample } from './idleSample.js'
import { readProcessUsage } from './readProcessUsage.js'
import { readTrafficBytes } from './readTrafficBytes.js'

/** Measures the CPU time, memory and traffic of every host of a deployment that serves no request. */
export async function runIdle (deployment: Deployment): Promise<readonly IdleSample[]> {
  await waitMs(benchConstants.settleMs)
  const before = await readAll(deployment)
  await waitMs(benchConstants.idleMeasureMs)
  const after = await readAll(deployment)
  return after.map((reading, index) => {
    const earlier = before[index] ?? reading
    const elapsedMs = reading.atMs - earlier.atMs
    const bytes = reading.trafficBytes === undefined || earlier.trafficBytes === undefined ? undefined : reading.trafficBytes - earlier.trafficBytes
    return {
      hosts: deployment.entryHosts.length,
      processorShare: (reading.usage.processorMs - earlier.usage.processorMs) / elapsedMs,
      residentBytes: reading.usage.residentBytes,
      bytesPerSecond: bytes === undefined ? undefined : bytes / elapsedMs * 1000
    }
  })
}

async function readAll (deployment: Deployment) {
  return Promise.all(deployment.entryHosts.map(async host => {
    const trafficBytes = await readTrafficBytes(host.address)
    return { trafficBytes, usage: readProcessUsage(host.process.pid ?? 0), atMs: performance.now() }
  }))
}

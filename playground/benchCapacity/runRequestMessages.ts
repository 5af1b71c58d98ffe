import { RequestTestFleet } from '../fakes/requestTestFleet.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { createSeries } from './createSeries.js'

const fleetHosts = [3, 6, 12, 24]
const requests = 60
const settleMs = 300
/** Share of the other hosts: one in `hosts` calls stays at the host that makes it, so the calls between hosts grow with this share. */
const computeOtherHostsPercent = (hosts: number): number => 100 * (hosts - 1) / hosts

/** Measures the calls between hosts for one request of a pipeline of three stages and for one plain call, with real request services. */
export async function runRequestMessages (): Promise<readonly CapacitySeries[]> {
  const streams: Array<readonly [number, readonly number[]]> = []
  const calls: Array<readonly [number, readonly number[]]> = []
  for (const hosts of fleetHosts) {
    streams.push([computeOtherHostsPercent(hosts), [await countMessages(hosts, 'query')]])
    calls.push([computeOtherHostsPercent(hosts), [await countMessages(hosts, 'status')]])
  }
  const head = { part: 'requests', unit: 'calls', sizeName: '% other hosts', targetSize: computeOtherHostsPercent(capacityConstants.targetHosts) }
  return [
    createSeries({ ...head, figure: 'calls between hosts per pipeline request' }, streams),
    createSeries({ ...head, figure: 'calls between hosts per plain call' }, calls)
  ]
}

async function countMessages (hosts: number, kind: string): Promise<number> {
  const fleet = await new RequestTestFleet({ hosts }).start()
  try {
    const before = fleet.peers.calls.length
    for (let i = 0; i < requests; i++) {
      const host = fleet.hosts[i % hosts]!
      await host.send('POST', '/v1/requests', { kind, input: { text: `marker:m${i} length:16` }, stream: kind === 'query' })
    }
    await new Promise(resolve => { setTimeout(resolve, settleMs) })
    return (fleet.peers.calls.length - before) / requests
  } finally {
    await fleet.stop()
  }
}

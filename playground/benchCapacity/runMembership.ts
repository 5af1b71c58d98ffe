import { runMembershipCluster } from '../benchMembership/runMembershipCluster.js'
import { runMembershipWire } from '../benchMembership/runMembershipWire.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { createSeries } from './createSeries.js'

/** Numbers of gRPC calls for which the cost of a call is measured. */
const callCounts = [250, 500, 1000, 2000]

/** Measures traffic, CPU time and memory of membership by number of hosts, and the cost of one gRPC call. */
export async function runMembership (): Promise<readonly CapacitySeries[]> {
  const costs: Array<Awaited<ReturnType<typeof runMembershipCluster>>> = []
  for (const size of capacityConstants.hosts) costs.push(await runMembershipCluster(size, capacityConstants.seed))
  const callCosts: Array<Awaited<ReturnType<typeof runMembershipWire>>> = []
  for (const count of callCounts) callCosts.push(await runMembershipWire(count))
  const head = { part: 'membership', sizeName: 'hosts', targetSize: capacityConstants.targetHosts }
  const build = (figure: string, unit: string, read: (cost: typeof costs[number]) => number): CapacitySeries => {
    return createSeries({ ...head, figure, unit }, costs.map(cost => [cost.hosts, [read(cost)]]))
  }
  // The target size is the largest number of calls that is measured.
  const callSeries = { part: 'membership', sizeName: 'calls', targetSize: 2000 }
  return [
    build('messages per host, sent and received', 'messages/s', cost => cost.messagesPerHostSecond),
    build('bytes of messages per host, sent and received', 'bytes/s', cost => cost.messageBytesPerHostSecond),
    // Bytes of messages of the remaining hosts in the 20 s after the hosts of a failure domain have stopped.
    build('the same while a failure domain fails', 'bytes/s', cost => cost.messageBytesPerHostSecondWhenADomainFails),
    // CPU time.
    build('processor per host without gRPC', 'ms/s', cost => cost.cpuMsPerHostSecond),
    build('memory per host', 'KB', cost => cost.heapKbPerHost),
    // Time until every other host considers the killed host dead.
    build('time until a killed host is dead everywhere', 'ms', cost => cost.deadEverywhereMs ?? NaN),
    // Bytes in addition to the encoded request and response.
    createSeries({ ...callSeries, figure: 'gRPC: bytes on the wire per call besides the messages', unit: 'bytes' }, callCosts.map(cost => [cost.pings, [cost.overheadBytesPerCall]])),
    // CPU time of the client and the server together.
    createSeries({ ...callSeries, figure: 'gRPC: processor per call, both ends', unit: 'ms' }, callCosts.map(cost => [cost.pings, [cost.cpuMsPerCallBothEnds]]))
  ]
}

import { MembershipCluster } from '../fakes/membershipCluster.js'

const measuredSeconds = 30

interface MembershipCost {
  readonly hosts: number
  readonly seed: number
  readonly joinedMs: number | undefined
  readonly deadEverywhereMs: number | undefined
  readonly messageBytesPerHostSecond: number
  readonly messagesPerHostSecond: number
  readonly messageBytesPerHostSecondWhenADomainFails: number
  readonly cpuMsPerHostSecond: number
  readonly heapKbPerHost: number
}

/** Measures traffic, CPU time and memory of membership in a cluster of `size` hosts in virtual time; the memory is exact only with `--expose-gc`. */
export async function runMembershipCluster (size: number, seed: number): Promise<MembershipCost> {
  globalThis.gc?.()
  const heapBefore = process.memoryUsage().heapUsed
  const cluster = new MembershipCluster(seed, 13)
  cluster.addHosts(size)
  const ids = [...cluster.hosts.keys()]
  const isComplete = (): boolean => [...cluster.hosts.values()].every(host => host.membership.listHosts().length === size)
  const joinedMs = await cluster.runUntil(isComplete, 60_000)
  await cluster.clock.runFor(30_000)
  cluster.network.takeTraffic()
  const cpuBefore = process.cpuUsage()
  await cluster.clock.runFor(measuredSeconds * 1000)
  const cpu = process.cpuUsage(cpuBefore)
  const quiet = [...cluster.network.takeTraffic().values()]
  globalThis.gc?.()
  const heapPerHost = (process.memoryUsage().heapUsed - heapBefore) / size
  const killedId = ids[1] as string
  cluster.network.removeHost(killedId)
  const rest = ids.filter(id => id !== killedId)
  const deadMs = await cluster.runUntil(() => cluster.listStates(rest, killedId).every(state => state === 'dead'), 60_000)
  cluster.network.takeTraffic()
  for (const id of rest.slice(0, Math.ceil(size / 13))) cluster.network.removeHost(id)
  await cluster.clock.runFor(20_000)
  const duringDomainFailure = [...cluster.network.takeTraffic().values()].slice(1 + Math.ceil(size / 13))
  const averageBytes = (traffic: ReadonlyArray<{ bytes: number }>, seconds: number): number => Math.round(traffic.reduce((sum, host) => sum + host.bytes, 0) / traffic.length / seconds)
  const messages = quiet.reduce((sum, host) => sum + host.messages, 0) / size / measuredSeconds
  return {
    hosts: size,
    seed,
    joinedMs,
    deadEverywhereMs: deadMs,
    messageBytesPerHostSecond: averageBytes(quiet, measuredSeconds),
    messagesPerHostSecond: Number(messages.toFixed(2)),
    messageBytesPerHostSecondWhenADomainFails: averageBytes(duringDomainFailure, 20),
    cpuMsPerHostSecond: Number(((cpu.user + cpu.system) / 1000 / size / measuredSeconds).toFixed(3)),
    heapKbPerHost: Math.round(heapPerHost / 1024)
  }
}

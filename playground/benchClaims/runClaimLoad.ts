import { createClaimService } from '../../src/node/claims/createClaimService.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { createSilentLogger } from '../fakes/createSilentLogger.js'
import { createMemoryMetrics } from '../fakes/createMemoryMetrics.js'
import { MemoryKeyValueService } from '../fakes/memoryKeyValueService.js'
import { MemoryPeerNetwork } from '../fakes/memoryPeerNetwork.js'
import { VirtualClock } from '../fakes/virtualClock.js'

/** Latency of one write at the key-value service. */
const writeLatencyMs = 3
/** One-way delay between hosts. */
const peerDelayMs = 1
/** Time in which claims are made. */
const runMs = 2000
/** Time after `runMs` in which the last claims and outcomes must end. */
const drainMs = 12_000

interface ClaimLoad {
  readonly hosts: number
  readonly claimsPerSecond: number
  /**
   * A segment is the set of claims that are stored under one key. If true, hosts forward the claims of a segment to
   * one host that writes them; otherwise each host writes its own.
   */
  readonly isForwarded: boolean
}

interface ClaimCost {
  readonly claims: number
  /** Number of claims with the decision `held`, which permits the execution. */
  readonly held: number
  readonly writesPerSecond: number
  /** Calls to the key-value service. */
  readonly callsPerClaim: number
  /** 99th percentile of the time until the decision `held`. */
  readonly p99Ms: number
}

/** Makes the claims of `load` and records their outcomes on a virtual clock, and counts the calls to the key-value service. */
export async function runClaimLoad (load: ClaimLoad, seed: number): Promise<ClaimCost> {
  const random = createSeededRandom(seed)
  const clock = new VirtualClock()
  const keyValue = new MemoryKeyValueService()
  let writes = 0
  keyValue.beforeWrite = async () => {
    writes++
    await clock.wait(writeLatencyMs)
  }
  const network = new MemoryPeerNetwork()
  network.wait = async () => await clock.wait(peerDelayMs)
  const hosts = Array.from({ length: load.hosts }, (_, i) => {
    let nonces = 0
    const peers = load.isForwarded ? network.addHost(`host-${i}`) : undefined
    return createClaimService({ hostId: `host-${i}`, peers, keyValue, clock, logger: createSilentLogger(), metrics: createMemoryMetrics(), wait: clock.wait, createNonce: () => `${i}-${nonces++}` })
  })
  const latencies: number[] = []
  const epochMs = clock.readWallMs()
  const claims = Math.round(load.claimsPerSecond * runMs / 1000)
  const runs = Array.from({ length: claims }, async (_, i) => {
    await clock.wait(random() * runMs)
    const startMs = clock.readMonotonicMs()
    // A UUIDv7 with the virtual time as its timestamp.
    const time = (epochMs + Math.round(startMs)).toString(16).padStart(12, '0')
    const requestId = `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${i.toString(16).padStart(12, '0')}`
    const decision = await hosts[Math.floor(random() * load.hosts)]!.claim({ account: 'pier', requestId, bodyHash: 'b' })
    if (decision.kind !== 'held') return
    latencies.push(clock.readMonotonicMs() - startMs)
    await decision.recordOutcome({ ran: 'ran', status: 200, body: '{}' })
  })
  const all = Promise.all(runs)
  await clock.runFor(runMs + drainMs)
  await all
  latencies.sort((a, b) => a - b)
  return {
    claims,
    held: latencies.length,
    writesPerSecond: writes / (runMs / 1000),
    callsPerClaim: keyValue.callCount / claims,
    p99Ms: latencies[Math.floor(latencies.length * 0.99)] ?? NaN
  }
}

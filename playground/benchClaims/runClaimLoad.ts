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
const runMs = 2000

interface ClaimLoad {
  readonly hosts: number
  readonly claimsPerSecond: number
  /** Claims of a segment go to one host; otherwise each host writes its own. */
  readonly isForwarded: boolean
}

interface ClaimCost {
  readonly claims: number
  readonly held: number
  readonly writesPerSecond: number
  readonly callsPerClaim: number
  readonly p99Ms: number
}

/** Runs claims and outcomes of `load` on a virtual clock and counts the calls to the key-value service. */
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
    const time = (epochMs + Math.round(startMs)).toString(16).padStart(12, '0')
    const requestId = `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${i.toString(16).padStart(12, '0')}`
    const decision = await hosts[Math.floor(random() * load.hosts)]!.claim({ account: 'pier', requestId, bodyHash: 'b' })
    if (decision.kind !== 'held') return
    latencies.push(clock.readMonotonicMs() - startMs)
    await decision.recordOutcome({ ran: 'ran', status: 200, body: '{}' })
  })
  const all = Promise.all(runs)
  await clock.runFor(runMs + 12_000)
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

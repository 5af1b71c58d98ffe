import t from 'tap'
import { createSilentLogger } from '../../../../playground/fakes/createSilentLogger.js'
import { createMemoryMetrics } from '../../../../playground/fakes/createMemoryMetrics.js'
import { MemoryKeyValueService } from '../../../../playground/fakes/memoryKeyValueService.js'
import { MemoryPeerNetwork } from '../../../../playground/fakes/memoryPeerNetwork.js'
import { VirtualClock } from '../../../../playground/fakes/virtualClock.js'
import { createSeededRandom } from '../../../shared/createSeededRandom.js'
import type { ClaimDecision } from '../../../types/claimDecision.js'
import type { ClaimService } from '../../../types/claimService.js'
import { claimConstants } from '../constants.js'
import { createClaimService } from '../createClaimService.js'

const successOutcome = { ran: 'ran', status: 200, body: '{"rung":true}' } as const

function createRequestId (timeMs: number, n: number): string {
  const time = timeMs.toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${n.toString(16).padStart(12, '0')}`
}

function createHosts (clock: VirtualClock, keyValue: MemoryKeyValueService, count: number, network?: MemoryPeerNetwork): ClaimService[] {
  return Array.from({ length: count }, (_, i) => {
    let nonces = 0
    return createClaimService({
      hostId: `host-${i}`,
      peers: network?.addHost(`host-${i}`),
      keyValue,
      clock,
      logger: createSilentLogger(),
      metrics: createMemoryMetrics(),
      wait: clock.wait,
      createNonce: () => `host-${i}-${nonces++}`
    })
  })
}

async function waitForDecision (clock: VirtualClock, decision: Promise<ClaimDecision>): Promise<ClaimDecision> {
  await clock.runFor(claimConstants.CLAIM_TIMEOUT_MS + 100)
  return await decision
}

t.test('only one of several hosts holds the claim when a caller retries at all of them concurrently', async t => {
  const clock = new VirtualClock()
  const hosts = createHosts(clock, new MemoryKeyValueService(), 5)
  const call = { account: 'pier', requestId: createRequestId(clock.readWallMs(), 1), bodyHash: 'b' }
  const all = Promise.all(hosts.map(host => host.claim(call)))
  await clock.runFor(2000)
  t.same((await all).map(decision => decision.kind).sort(), ['held', 'pending', 'pending', 'pending', 'pending'])
})

t.test('a host recognizes its own claim after a write that took effect but whose response was lost', async t => {
  const clock = new VirtualClock()
  const keyValue = new MemoryKeyValueService()
  const [host] = createHosts(clock, keyValue, 1) as [ClaimService]
  let lost = 0
  keyValue.isAnswerLost = key => key.startsWith('claims/') && lost++ === 0
  const call = { account: 'pier', requestId: createRequestId(clock.readWallMs(), 1), bodyHash: 'b' }
  const decision = await waitForDecision(clock, host.claim(call))
  t.equal(decision.kind, 'held')
  t.equal(lost, 1, 'the claim was written once')
})

t.test('a call refused during an outage is not run, and its leftover claim is later recorded as not run', async t => {
  const clock = new VirtualClock()
  const keyValue = new MemoryKeyValueService()
  const [host, other] = createHosts(clock, keyValue, 2) as [ClaimService, ClaimService]
  const call = { account: 'pier', requestId: createRequestId(clock.readWallMs(), 1), bodyHash: 'b' }
  keyValue.isAnswerLost = key => {
    // The write takes effect, but the key-value service fails before the claim can be read back.
    keyValue.outage = true
    return key.startsWith('claims/')
  }
  const first = await waitForDecision(clock, host.claim(call))
  t.match(first, { kind: 'refused', ran: 'not_run' })
  keyValue.outage = false
  keyValue.isAnswerLost = () => false
  await clock.runFor(1000)
  t.match(await waitForDecision(clock, other.claim(call)), { kind: 'recorded', outcome: { ran: 'not_run' } })
})

t.test('a holder that was paused beyond the freshness limit must not send the call', async t => {
  const clock = new VirtualClock()
  const [host] = createHosts(clock, new MemoryKeyValueService(), 1) as [ClaimService]
  const call = { account: 'pier', requestId: createRequestId(clock.readWallMs(), 1), bodyHash: 'b' }
  const claiming = host.claim(call)
  await clock.runFor(10)
  const decision = await claiming
  if (decision.kind !== 'held') return t.fail('claim expected')
  await clock.runFor(claimConstants.CLAIM_FRESHNESS_MS)
  t.equal(decision.isFresh(), false)
})

t.test('a call whose outcome was recorded is not sent again under its claim', async t => {
  const clock = new VirtualClock()
  const [host] = createHosts(clock, new MemoryKeyValueService(), 1) as [ClaimService]
  const claiming = host.claim({ account: 'pier', requestId: createRequestId(clock.readWallMs(), 1), bodyHash: 'b' })
  await clock.runFor(10)
  const decision = await claiming
  if (decision.kind !== 'held') return t.fail('claim expected')
  const before = decision.isFresh()
  const recording = decision.recordOutcome(successOutcome)
  t.same([before, decision.isFresh()], [true, false])
  await clock.runFor(1000)
  await recording
})

t.test('a caller that retries at another host gets the recorded outcome', async t => {
  const clock = new VirtualClock()
  const [host, other] = createHosts(clock, new MemoryKeyValueService(), 2) as [ClaimService, ClaimService]
  const call = { account: 'pier', requestId: createRequestId(clock.readWallMs(), 1), bodyHash: 'b' }
  const decision = await waitForDecision(clock, host.claim(call))
  if (decision.kind !== 'held') return t.fail('claim expected')
  const before = await waitForDecision(clock, other.claim(call))
  const recording = decision.recordOutcome(successOutcome)
  await clock.runFor(100)
  await recording
  t.match([before, await waitForDecision(clock, other.claim(call))], [{ kind: 'pending', holderId: 'host-0' }, { kind: 'recorded', outcome: successOutcome }])
})

t.test('refuses request ids that are older than the retry window, from the future, not UUIDv7 or reused', async t => {
  const clock = new VirtualClock()
  const [host] = createHosts(clock, new MemoryKeyValueService(), 1) as [ClaimService]
  const now = clock.readWallMs()
  const id = createRequestId(now, 1)
  await waitForDecision(clock, host.claim({ account: 'pier', requestId: id, bodyHash: 'b' }))
  t.matchSnapshot([
    await waitForDecision(clock, host.claim({ account: 'pier', requestId: createRequestId(now - claimConstants.RETRY_WINDOW_MS - 1, 2), bodyHash: 'b' })),
    await waitForDecision(clock, host.claim({ account: 'pier', requestId: createRequestId(now + 60_000, 3), bodyHash: 'b' })),
    await waitForDecision(clock, host.claim({ account: 'pier', requestId: 'order-17', bodyHash: 'b' })),
    await waitForDecision(clock, host.claim({ account: 'pier', requestId: id, bodyHash: 'other' }))
  ])
})

t.test('concurrent claims share writes', async t => {
  const clock = new VirtualClock()
  const keyValue = new MemoryKeyValueService()
  const [host] = createHosts(clock, keyValue, 1) as [ClaimService]
  const all = Promise.all(Array.from({ length: 800 }, (_, i) => host.claim({ account: 'pier', requestId: createRequestId(clock.readWallMs(), i), bodyHash: 'b' })))
  await clock.runFor(200)
  t.ok((await all).every(decision => decision.kind === 'held'))
  t.ok(keyValue.callCount < 60, `${keyValue.callCount} calls for 800 claims in 8 segments`)
})

/**
 * Lets four hosts claim twelve calls concurrently under lost responses, delays and an outage. Returns how often each
 * call was sent.
 */
async function runRace (seed: number, keyValue: MemoryKeyValueService, network?: MemoryPeerNetwork): Promise<ReadonlyMap<string, number>> {
  const random = createSeededRandom(seed)
  const clock = new VirtualClock()
  const hosts = createHosts(clock, keyValue, 4, network)
  if (network !== undefined) {
    network.wait = async () => await clock.wait(random() * 100)
    network.isLost = () => random() < 0.2
  }
  keyValue.isAnswerLost = () => random() < 0.3
  keyValue.beforeWrite = async () => { if (random() < 0.5) await clock.wait(random() * 200) }
  const sent = new Map<string, number>()
  const now = clock.readWallMs()
  const runs = Array.from({ length: 60 }, async (_, i) => {
    await clock.wait(random() * 1500)
    const call = { account: 'pier', requestId: createRequestId(now, i % 12), bodyHash: 'b' }
    const decision = await (hosts[Math.floor(random() * 4)] as ClaimService).claim(call)
    if (decision.kind === 'held' && decision.isFresh()) sent.set(call.requestId, (sent.get(call.requestId) ?? 0) + 1)
  })
  const outage = clock.wait(random() * 1000).then(async () => {
    keyValue.outage = true
    await clock.wait(random() * 800)
    keyValue.outage = false
  })
  const all = Promise.all([...runs, outage])
  await clock.runFor(20_000)
  await all
  return sent
}

t.test('each call is sent at most once under lost responses, outages and concurrent claims', async t => {
  let total = 0
  for (let seed = 1; seed <= 30; seed++) {
    const sent = await runRace(seed, new MemoryKeyValueService())
    total += sent.size
    t.ok([...sent.values()].every(count => count === 1), `seed ${seed}`)
  }
  t.ok(total > 30 * 6, 'most calls get through in spite of the faults')
})

t.test('each call is sent at most once when hosts commit for each other and messages between them are lost', async t => {
  let total = 0
  for (let seed = 1; seed <= 30; seed++) {
    const sent = await runRace(seed, new MemoryKeyValueService(), new MemoryPeerNetwork())
    total += sent.size
    t.ok([...sent.values()].every(count => count === 1), `seed ${seed}`)
  }
  t.ok(total > 30 * 6, 'most calls get through in spite of the faults')
})

t.test('the race test detects calls sent twice when writes do not compare versions', async t => {
  class UncomparedKeyValueService extends MemoryKeyValueService {
    override async compareAndSwap (key: string, _expected: number, value: string): Promise<{ swapped: boolean, version: number }> {
      return await super.compareAndSwap(key, (await this.read(key))?.version ?? 0, value)
    }
  }
  const sent = await runRace(1, new UncomparedKeyValueService())
  t.ok([...sent.values()].some(count => count > 1))
})

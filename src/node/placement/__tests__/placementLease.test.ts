import t from 'tap'
import { MemoryKeyValueService } from '../../../../playground/fakes/memoryKeyValueService.js'
import { VirtualClock } from '../../../../playground/fakes/virtualClock.js'
import { placementConstants } from '../constants.js'
import { PlacementLease } from '../placementLease.js'

function createLeases (clock: VirtualClock, keyValue: MemoryKeyValueService, count: number): PlacementLease[] {
  let tokens = 0
  return Array.from({ length: count }, (_, i) => new PlacementLease(`host-${i}`, keyValue, clock, () => `token-${tokens++}`))
}

t.test('one of several hosts becomes the holder after the longest order delay', async t => {
  const clock = new VirtualClock()
  const leases = createLeases(clock, new MemoryKeyValueService(), 3)
  await Promise.all(leases.map(lease => lease.update()))
  t.same(leases.map(lease => lease.getFencing()), [undefined, undefined, undefined], 'orders of a predecessor may still take effect')
  for (let ms = 0; ms < placementConstants.LONGEST_ORDER_DELAY_MS; ms += placementConstants.RENEW_INTERVAL_MS) {
    await clock.runFor(placementConstants.RENEW_INTERVAL_MS)
    for (const lease of leases) await lease.update()
  }
  t.same(leases.map(lease => lease.getFencing()), [1, undefined, undefined])
})

t.test('a paused holder sends no orders after its lease expired, and its successor has a higher fencing number', async t => {
  const clock = new VirtualClock()
  const keyValue = new MemoryKeyValueService()
  const [first, second] = createLeases(clock, keyValue, 2) as [PlacementLease, PlacementLease]
  await first.update()
  for (let i = 0; i < 4; i++) {
    await clock.runFor(placementConstants.RENEW_INTERVAL_MS)
    await first.update()
  }
  t.equal(first.getFencing(), 1)
  await clock.runFor(placementConstants.LEASE_TTL_MS)
  await keyValue.removeLease('lease-1')
  await second.update()
  t.equal(first.getFencing(), undefined, 'the lease expired during the pause')
  for (let i = 0; i < 4; i++) {
    await clock.runFor(placementConstants.RENEW_INTERVAL_MS)
    await second.update()
  }
  t.equal(second.getFencing(), 2)
})

t.test('the holder stops sending orders before its lease expires during an outage of the service', async t => {
  const clock = new VirtualClock()
  const keyValue = new MemoryKeyValueService()
  const [lease] = createLeases(clock, keyValue, 1) as [PlacementLease]
  await lease.update()
  for (let i = 0; i < 4; i++) {
    await clock.runFor(placementConstants.RENEW_INTERVAL_MS)
    await lease.update()
  }
  keyValue.outage = true
  await clock.runFor(placementConstants.LEASE_TTL_MS - placementConstants.STOP_BEFORE_EXPIRY_MS - 1)
  t.equal(lease.getFencing(), 1)
  await clock.runFor(1)
  t.equal(lease.getFencing(), undefined)
})

t.test('an acquisition whose response was lost is resolved by reading the token', async t => {
  const clock = new VirtualClock()
  const keyValue = new MemoryKeyValueService()
  const [lease] = createLeases(clock, keyValue, 1) as [PlacementLease]
  keyValue.isAnswerLost = () => true
  await lease.update()
  keyValue.isAnswerLost = () => false
  for (let i = 0; i < 4; i++) {
    await clock.runFor(placementConstants.RENEW_INTERVAL_MS)
    await lease.update()
  }
  t.equal(lease.getFencing(), 1)
})

import t from 'tap'
import fc from 'fast-check'
import { buildBurnReport } from '../buildBurnReport.js'
import { BurnLedger } from '../burnLedger.js'
import { burnConstants } from '../constants.js'
import { createSample } from './createSample.js'
import { mergeBurnSnapshots } from '../mergeBurnSnapshots.js'
import { parseBurnSnapshot } from '../parseBurnSnapshot.js'

const start = Date.UTC(2026, 0, 5, 6)
const minute = 60_000
const objective = () => ({ attainment: 0.9, latencyMs: 500 })

t.test('windows count the requests within them and drop older ones', t => {
  const ledger = new BurnLedger()
  ledger.observe(createSample(false, start))
  for (let i = 1; i <= 9; i++) ledger.observe(createSample(true, start + i * 1000))
  const countAt = (atMs: number) => {
    const { windows } = ledger.createSnapshot('host-1', objective, atMs).entries[0]!
    return [windows['5m'], windows['1h'], windows['6h']].map(counts => `${counts.missed}/${counts.total}`)
  }
  t.same(countAt(start + 4 * minute), ['1/10', '1/10', '1/10'])
  t.same(countAt(start + 7 * minute), ['0/0', '1/10', '1/10'])
  t.same(countAt(start + 70 * minute), ['0/0', '0/0', '1/10'])
  t.same(ledger.createSnapshot('host-1', objective, start + 400 * minute).entries, [])
  t.equal(ledger.countEntries(), 0)
  t.end()
})

t.test('the counts of a window match a count of the samples since the start of its oldest bucket', t => {
  fc.assert(fc.property(fc.array(fc.record({ gapMs: fc.integer({ min: 0, max: 20 * minute }), attained: fc.boolean() }), { minLength: 1, maxLength: 80 }), steps => {
    const ledger = new BurnLedger()
    let nowMs = start
    const samples = steps.map(step => {
      nowMs += step.gapMs
      return createSample(step.attained, nowMs)
    })
    for (const sample of samples) ledger.observe(sample)
    const { windows } = ledger.createSnapshot('host-1', objective, nowMs).entries[0]!
    return burnConstants.rings.every(({ window, bucketMs, buckets }) => {
      const firstMs = (Math.floor(nowMs / bucketMs) - buckets + 1) * bucketMs
      const inside = samples.filter(sample => sample.atMs >= firstMs)
      return windows[window].total === inside.length && windows[window].missed === inside.filter(sample => !sample.attained).length
    })
  }), { seed: 7, numRuns: 200 })
  t.end()
})

t.test('burn rate and remaining budget are computed from the objective', t => {
  const ledger = new BurnLedger()
  for (let i = 0; i < 100; i++) ledger.observe(createSample(i >= 5, start + i))
  const report = buildBurnReport(ledger.createSnapshot('host-1', objective, start + minute))
  t.match(report.entries[0], { windows: { '1h': { attainment: 0.95 } } })
  t.ok(Math.abs(report.entries[0]!.windows['5m'].burnRate! - 0.5) < 1e-9)
  t.ok(Math.abs(report.entries[0]!.budgetLeft! - 0.5) < 1e-9)
  const unknown = buildBurnReport(ledger.createSnapshot('host-1', () => undefined, start + minute)).entries[0]
  t.match(unknown, { objective: null, budgetLeft: null })
  t.end()
})

t.test('requests above the rate of the contract do not spend the budget', t => {
  const ledger = new BurnLedger()
  ledger.observe(createSample(false, start, { code: 'limit_reached', ran: 'not_run' }))
  ledger.observe(createSample(false, start, { code: 'overloaded', ran: 'not_run' }))
  const entry = ledger.createSnapshot('host-1', objective, start).entries[0]!
  t.same(entry.windows['1h'], { total: 1, missed: 1, excluded: 1 })
  t.same(entry.causes.codes, [{ label: 'overloaded', count: 1 }])
  t.end()
})

t.test('causes list the code, stage and upstream of missed requests and stay bounded', t => {
  const ledger = new BurnLedger()
  for (let i = 0; i < 40; i++) ledger.observe(createSample(false, start, { slowestStage: 'generate', slowestUpstream: 'runner-3' }))
  for (let i = 0; i < 30; i++) ledger.observe(createSample(false, start, { code: 'deadline_unreachable', slowestUpstream: `runner-${i + 10}` }))
  const { causes } = ledger.createSnapshot('host-1', objective, start).entries[0]!
  t.same(causes.codes, [{ label: 'late', count: 40 }, { label: 'deadline_unreachable', count: 30 }])
  t.same(causes.stages, [{ label: 'generate', count: 40 }])
  t.same(causes.upstreams[0], { label: 'runner-3', count: 40 })
  t.equal(causes.upstreams.length, 8)
  t.same(ledger.createSnapshot('host-1', objective, start + 70 * minute).entries[0]!.causes.codes, [])
  t.end()
})

t.test('when the wall clock steps back, counters are kept and requests count in the newest bucket', t => {
  const ledger = new BurnLedger()
  ledger.observe(createSample(true, start + 30 * minute))
  ledger.observe(createSample(false, start))
  t.match(ledger.createSnapshot('host-1', objective, start).entries[0], { windows: { '5m': { total: 2, missed: 1 }, '6h': { total: 2, missed: 1 } } })
  t.end()
})

t.test('above the maximum number of entries, the one that has been idle longest is dropped', t => {
  const ledger = new BurnLedger()
  for (let i = 0; i <= burnConstants.maximumEntries; i++) ledger.observe(createSample(true, start + i, { account: `account-${i}` }))
  t.equal(ledger.countEntries(), burnConstants.maximumEntries)
  const snapshot = ledger.createSnapshot('host-1', objective, start + minute)
  t.equal(snapshot.entries.length, burnConstants.maximumSnapshotEntries)
  t.equal(snapshot.omittedEntries, burnConstants.maximumEntries - burnConstants.maximumSnapshotEntries)
  t.end()
})

t.test('merging adds the counters of several hosts in any order', t => {
  const ledgers = [new BurnLedger(), new BurnLedger()]
  ledgers[0]!.observe(createSample(false, start, { slowestUpstream: 'runner-1' }))
  ledgers[1]!.observe(createSample(false, start, { slowestUpstream: 'runner-1' }))
  ledgers[1]!.observe(createSample(true, start + 6 * minute))
  ledgers[1]!.observe(createSample(true, start, { kind: 'status-read' }))
  const snapshots = ledgers.map((ledger, i) => parseBurnSnapshot(JSON.stringify(ledger.createSnapshot(`host-${i}`, objective, start + 7 * minute))))
  const merged = mergeBurnSnapshots(snapshots)
  t.match(merged, { hostIds: ['host-0', 'host-1'], omittedEntries: 0 })
  t.match(merged.entries[0], {
    windows: { '6h': { total: 3, missed: 2 } },
    causes: { upstreams: [{ label: 'runner-1', count: 2 }] },
    points: [{ atMs: start, total: 2, missed: 2 }, { atMs: start + 5 * minute, total: 1, missed: 0 }]
  })
  t.same(buildBurnReport(mergeBurnSnapshots([...snapshots].reverse())), buildBurnReport(merged))
  t.throws(() => parseBurnSnapshot('{"entries":1}'), { code: 'burn_snapshot_invalid' })
  t.end()
})

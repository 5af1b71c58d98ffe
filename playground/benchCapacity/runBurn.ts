import { buildBurnReport } from '../../src/node/burn/buildBurnReport.js'
import { BurnLedger } from '../../src/node/burn/burnLedger.js'
import type { BurnSnapshot } from '../../src/node/burn/burnSnapshot.js'
import { mergeBurnSnapshots } from '../../src/node/burn/mergeBurnSnapshots.js'
import { parseBurnSnapshot } from '../../src/node/burn/parseBurnSnapshot.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { createSeries } from './createSeries.js'
import { readHeapBytes } from './readHeapBytes.js'
import { runTimed } from './runTimed.js'

const kindsPerAccount = 4
const startMs = 1_700_000_000_000
const missedShare = 0.05
const snapshotEntries = 4000

interface BurnCost {
  readonly entries: number
  readonly heapMb: number
  readonly observeUs: readonly number[]
  readonly snapshotKb: number
  readonly snapshotMs: readonly number[]
}

/** Measures the memory of the burn counters of one host, and the bytes and CPU time of a report over all hosts. */
export async function runBurn (): Promise<readonly CapacitySeries[]> {
  const costs = capacityConstants.burnEntries.map(runEntries)
  const entries = { part: 'burn', sizeName: 'accounts x kinds', targetSize: capacityConstants.targetAccounts * kindsPerAccount }
  const hosts = { part: 'burn', sizeName: 'hosts', targetSize: capacityConstants.targetHosts }
  const text = JSON.stringify(buildSnapshot(createLedger(snapshotEntries)))
  const reports = capacityConstants.hosts.map(count => [count, runReport(text, count)] as const)
  return [
    createSeries({ ...entries, figure: 'memory of the counters', unit: 'MB' }, costs.map(cost => [cost.entries, [cost.heapMb]])),
    createSeries({ ...entries, figure: 'one observe()', unit: 'us' }, costs.map(cost => [cost.entries, cost.observeUs])),
    createSeries({ ...entries, figure: 'answer of one host to a report, bytes', unit: 'KB' }, costs.map(cost => [cost.entries, [cost.snapshotKb]])),
    createSeries({ ...entries, figure: 'answer of one host to a report, processor', unit: 'ms' }, costs.map(cost => [cost.entries, cost.snapshotMs])),
    createSeries({ ...hosts, figure: 'report over all hosts, bytes at the asking host', unit: 'MB' }, reports.map(([count]) => [count, [count * text.length / 1e6]])),
    createSeries({ ...hosts, figure: 'report over all hosts, processor at the asking host', unit: 'ms' }, reports.map(([count, reportMs]) => [count, [reportMs]]))
  ]
}

function createLedger (entries: number): BurnLedger {
  const ledger = new BurnLedger()
  for (let i = 0; i < entries; i++) observeRequest(ledger, i, i % 20 === 0)
  return ledger
}

function observeRequest (ledger: BurnLedger, index: number, isMissed: boolean): void {
  const account = `account-${Math.floor(index / kindsPerAccount)}`
  ledger.observe({
    account,
    kind: `kind-${index % kindsPerAccount}`,
    elapsedMs: 100,
    attained: !isMissed,
    code: isMissed ? 'deadline_exceeded' : undefined,
    ran: 'ran',
    slowestStage: 'answer',
    slowestUpstream: `runner-${index % 64}`,
    atMs: startMs
  })
}

function buildSnapshot (ledger: BurnLedger, hostId = 'host-0'): BurnSnapshot {
  return ledger.createSnapshot(hostId, () => ({ attainment: 0.95, latencyMs: 1000 }), startMs)
}

function runEntries (entries: number): BurnCost {
  const before = readHeapBytes()
  const ledger = createLedger(entries)
  const heapMb = (readHeapBytes() - before) / 1e6
  const random = createSeededRandom(capacityConstants.seed)
  const observeUs = runTimed(20_000, () => { observeRequest(ledger, Math.floor(random() * entries), random() < missedShare) })
  const snapshotKb = JSON.stringify(buildSnapshot(ledger)).length / 1e3
  const snapshotMs = runTimed(1, () => { JSON.stringify(buildSnapshot(ledger)) }).map(us => us / 1000)
  return { entries, heapMb, observeUs, snapshotKb, snapshotMs }
}

/**
 * Measures the CPU time of a report in milliseconds. The snapshots are merged one by one, as the reporter does. It runs
 * once, because it takes seconds.
 */
function runReport (text: string, hosts: number): number {
  const before = process.cpuUsage()
  let merged = parseBurnSnapshot(text)
  for (let i = 1; i < hosts; i++) merged = mergeBurnSnapshots([merged, parseBurnSnapshot(text)])
  buildBurnReport(merged)
  const { user, system } = process.cpuUsage(before)
  return (user + system) / 1000
}

import { OwnedBudgets } from '../../src/node/limits/ownedBudgets.js'
import { LocalLimiter } from '../../src/node/limits/localLimiter.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { createSeries } from './createSeries.js'
import { readHeapBytes } from './readHeapBytes.js'
import { runTimed } from './runTimed.js'

const rate = 100
const sharedAccounts = 50
const reports = 20_000

/** Measures the memory of the limits at an owner and at a reporting host, and the CPU time of one report entry at the owner. */
export async function runLimitTables (): Promise<readonly CapacitySeries[]> {
  const accounts = { part: 'limits', sizeName: 'accounts', targetSize: capacityConstants.targetAccounts }
  const hosts = { part: 'limits', sizeName: 'reporting hosts', targetSize: capacityConstants.targetHosts }
  return [
    createSeries({ ...accounts, figure: 'memory at a host, accounts in use there', unit: 'MB' }, capacityConstants.accounts.map(count => [count, [computeLocalBytes(count) / 1e6]])),
    createSeries({ ...accounts, figure: 'memory at an owner, one reporting host per account', unit: 'MB' }, capacityConstants.accounts.map(count => [count, [computeOwnerBytes(count, 1) / 1e6]])),
    createSeries({ ...hosts, figure: 'memory at an owner per account', unit: 'KB' }, capacityConstants.hosts.map(count => [count, [computeOwnerBytes(sharedAccounts, count) / sharedAccounts / 1e3]])),
    createSeries({ ...hosts, figure: 'processor of one report entry at the owner', unit: 'us' }, capacityConstants.hosts.map(count => [count, runGrants(count)]))
  ]
}

function createBudgets (hosts: number): OwnedBudgets {
  return new OwnedBudgets({ findRate: () => rate, countEligibleHosts: () => hosts, countSharingHosts: () => hosts, isHostAlive: () => true })
}

function grantOnce (budgets: OwnedBudgets, account: string, hostId: string, sequence: number, nowMs: number): number {
  return budgets.grant({ account, hostId, demand: 1, held: 0, returned: 0, waiting: 0, sequence }, nowMs)
}

function computeLocalBytes (accounts: number): number {
  const names = Array.from({ length: accounts }, (_, i) => `account-${i}`)
  const before = readHeapBytes()
  const local = new LocalLimiter({ findRate: () => rate, countSharingHosts: () => capacityConstants.targetHosts })
  for (const name of names) local.take(name, 0.5)
  // The use after the reading keeps the limiter from being collected before it.
  return readHeapBytes() - before + 0 * local.listAccounts().length
}

function computeOwnerBytes (accounts: number, hosts: number): number {
  const names = Array.from({ length: accounts }, (_, i) => `account-${i}`)
  const ids = Array.from({ length: hosts }, (_, i) => `host-${i}`)
  const before = readHeapBytes()
  const budgets = createBudgets(hosts)
  for (const name of names) {
    budgets.addFullBudget(name, 0.5)
    for (const id of ids) grantOnce(budgets, name, id, 1.5, 1.5)
  }
  const bytes = readHeapBytes() - before
  // Keeps the budgets from being collected before the memory is read.
  budgets.hasBudget('')
  return bytes
}

function runGrants (hosts: number): readonly number[] {
  const ids = Array.from({ length: hosts }, (_, i) => `host-${i}`)
  const budgets = createBudgets(hosts)
  budgets.addFullBudget('account', 0)
  // Every host reports every 250 ms, so that all shares stay valid.
  return runTimed(reports, i => { grantOnce(budgets, 'account', ids[i % hosts]!, i + 1, i * 250 / hosts) })
}

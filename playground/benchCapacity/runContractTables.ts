import { ConfirmationState } from '../../src/node/contracts/confirmationState.js'
import { ContractExchange } from '../../src/node/contracts/contractExchange.js'
import { ContractStore } from '../../src/node/contracts/contractStore.js'
import { encodeRevision } from '../../src/node/contracts/encodeRevision.js'
import { parseRevision } from '../../src/node/contracts/parseRevision.js'
import { VirtualClock } from '../fakes/virtualClock.js'
import { buildContracts } from './buildContracts.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { CountingNetwork } from './countingNetwork.js'
import { createFixedMembershipView } from './createFixedMembershipView.js'
import { createSeries } from './createSeries.js'
import { readHeapBytes } from './readHeapBytes.js'
import { runTimed } from './runTimed.js'

interface TableCost {
  readonly accounts: number
  readonly heapMb: number
  readonly compareMb: number
  readonly compareMs: readonly number[]
  readonly digestUs: readonly number[]
  readonly digestBytes: number
  readonly differingBytes: number
}

/** Measures the memory of the contracts of one host, the watchers' full comparison and one digest exchange, by number of accounts. */
export async function runContractTables (): Promise<readonly CapacitySeries[]> {
  const costs: TableCost[] = []
  for (const accounts of capacityConstants.accounts) costs.push(await runTable(accounts))
  const build = (figure: string, unit: string, read: (cost: TableCost) => readonly number[]): CapacitySeries => {
    return createSeries({ part: 'contracts', figure, unit, sizeName: 'accounts', targetSize: capacityConstants.targetAccounts }, costs.map(cost => [cost.accounts, read(cost)]))
  }
  return [
    build('memory of ContractStore', 'MB', cost => [cost.heapMb]),
    build('full comparison, bytes read', 'MB', cost => [cost.compareMb]),
    build('full comparison, processor', 'ms', cost => cost.compareMs),
    build('digest exchange without difference, bytes of messages', 'bytes', cost => [cost.digestBytes]),
    build('digest exchange with one newer contract, bytes of messages', 'bytes', cost => [cost.differingBytes]),
    build('digest comparison and answer, processor', 'us', cost => cost.digestUs)
  ]
}

async function runTable (accounts: number): Promise<TableCost> {
  const texts = buildTexts(accounts)
  const before = readHeapBytes()
  const store = new ContractStore()
  loadTexts(store, texts)
  const heapMb = (readHeapBytes() - before) / 1e6
  const compareMs = runTimed(1, () => { loadTexts(store, texts) }).map(us => us / 1000)
  const digestUs = runTimed(2000, () => {
    const otherDigests = store.listBucketDigests()
    store.listBucketDigests().filter((digest, bucket) => digest !== otherDigests[bucket])
  })
  const { digestBytes, differingBytes } = await runExchanges(store)
  return { accounts, heapMb, compareMb: texts.reduce((sum, text) => sum + text.length, 0) / 1e6, compareMs, digestUs, digestBytes, differingBytes }
}

// A function of its own, so that the parsed contracts are garbage before the memory is read.
function buildTexts (accounts: number): readonly string[] {
  return buildContracts(accounts).map(revision => Buffer.from(encodeRevision(revision)).toString('latin1'))
}

function loadTexts (store: ContractStore, texts: readonly string[]): void {
  for (const text of texts) {
    const revision = parseRevision(text)
    if (revision) store.apply(revision)
  }
}

async function runExchanges (store: ContractStore): Promise<{ readonly digestBytes: number, readonly differingBytes: number }> {
  const clock = new VirtualClock()
  const network = new CountingNetwork(clock, 2)
  const other = new ContractStore()
  for (const revision of store.listRevisions()) other.apply(revision)
  const [first] = [store, other].map((own, i) => new ContractExchange({
    store: own,
    transport: network.createTransport(`host-${i}`),
    membership: createFixedMembershipView(network.hosts[i]!, network.hosts),
    confirmation: new ConfirmationState(),
    clock,
    random: () => 0.5,
    isReady: () => true
  }))
  const runOnce = async (): Promise<number> => {
    const run = first!.runDigestExchange()
    await clock.runFor(100)
    await run
    return [...network.takeCounts().values()].reduce((sum, { bytes }) => sum + bytes, 0)
  }
  const digestBytes = await runOnce()
  other.apply({ ...store.listRevisions()[0]!, revision: 2 })
  return { digestBytes, differingBytes: await runOnce() }
}

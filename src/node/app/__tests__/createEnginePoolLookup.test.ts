import t from 'tap'
import { ContractStore } from '../../contracts/contractStore.js'
import type { StageOperation } from '../../../types/stageOperation.js'
import { createEnginePoolLookup } from '../createEnginePoolLookup.js'

function applyContract (store: ContractStore, revision: number, operation: StageOperation): void {
  const kind = { stages: [{ name: 'answer', operation, pool: 'runners', after: [] }], deadlineMs: 1000, priority: 5, idempotent: true, objective: { attainment: 0.9, latencyMs: 500 } }
  const contract = { account: 'pier', tokenDigests: [], requestsPerSecond: 1, tokensPerSecond: 1, kinds: { query: kind } }
  store.apply({ account: 'pier', revision, contract, operator: 'operator', atMs: 0, token: 'token' })
}

t.test('a pool counts as an engine pool as soon as a contract uses it for a generate stage', async t => {
  const store = new ContractStore()
  const isEnginePool = createEnginePoolLookup(store)
  t.equal(isEnginePool('runners'), false)
  applyContract(store, 1, 'encode')
  t.equal(isEnginePool('runners'), false)
  applyContract(store, 2, 'generate')
  t.equal(isEnginePool('runners'), true)
  t.equal(isEnginePool('other'), false)
})

t.test('a pool no longer counts as an engine pool when the only contract that generates on it is deleted', async t => {
  const store = new ContractStore()
  const isEnginePool = createEnginePoolLookup(store)
  applyContract(store, 1, 'generate')
  t.equal(isEnginePool('runners'), true)
  store.apply({ account: 'pier', revision: 2, contract: null, operator: 'operator', atMs: 0, token: 'token' })
  t.equal(isEnginePool('runners'), false)
})

import t from 'tap'
import type { Contract } from '../../../types/contract.js'
import { ContractStore } from '../contractStore.js'
import { parseContract } from '../parseContract.js'
import { validateContract } from '../validateContract.js'

const contract: Contract = {
  account: 'pier',
  tokenDigests: ['a'.repeat(64)],
  requestsPerSecond: 20,
  tokensPerSecond: 500,
  kinds: {
    query: {
      stages: [
        { name: 'encode', operation: 'encode', pool: 'encoders', after: [] },
        { name: 'answer', operation: 'generate', pool: 'runners', after: ['encode'], model: 'm', maxTokens: 64 }
      ],
      deadlineMs: 2000,
      priority: 5,
      idempotent: true,
      objective: { attainment: 0.95, latencyMs: 1800 }
    }
  }
}

t.test('a valid contract is returned unchanged', t => {
  t.same(parseContract(contract), contract)
  t.end()
})

t.test('all faults of a contract are reported at once with their paths', t => {
  const query = contract.kinds.query
  t.matchSnapshot(validateContract({
    ...contract,
    account: 'a/b',
    requestsPerSecond: -1,
    extra: 1,
    kinds: {
      query: {
        ...query,
        priority: 12,
        idempotent: false,
        deadlineMs: 1000,
        stages: [
          { name: 'a', operation: 'encode', pool: 'p', after: ['c'] },
          { name: 'b', operation: 'dance', pool: 'p', after: ['a'] },
          { name: 'c', operation: 'generate', pool: 'p', after: ['b', 'nowhere'] },
          { name: 'd', operation: 'rerank', pool: 'p', after: ['a'], model: 'm' }
        ]
      }
    }
  }))
  t.ok(validateContract(undefined).length > 0)
  t.ok(validateContract({ kinds: { a: 7 } }).length > 0)
  t.end()
})

t.test('an older revision never replaces a newer one, and deletions are revisions', t => {
  const store = new ContractStore()
  const base = { account: 'pier', operator: 'op', atMs: 0, token: 't' }
  t.ok(store.apply({ ...base, revision: 2, contract }))
  t.notOk(store.apply({ ...base, revision: 1, contract: null }))
  t.equal(store.findByTokenDigest('a'.repeat(64))?.account, 'pier')
  t.ok(store.apply({ ...base, revision: 3, contract: null }))
  t.notOk(store.apply({ ...base, revision: 2, contract }))
  t.equal(store.find('pier'), undefined)
  t.equal(store.findByTokenDigest('a'.repeat(64)), undefined)
  t.end()
})

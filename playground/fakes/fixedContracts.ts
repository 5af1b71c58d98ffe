import { createHash } from 'node:crypto'
import type { Contract } from '../../src/types/contract.js'
import type { ContractRevision } from '../../src/types/contractRevision.js'
import type { ContractView } from '../../src/types/contractView.js'

/** Contracts for tests that never change; the bearer token of an account is `token-<account>`. */
export class FixedContracts implements ContractView {
  private readonly revisions: readonly ContractRevision[]

  constructor (contracts: ReadonlyArray<Pick<Contract, 'account' | 'kinds'>>) {
    this.revisions = contracts.map(({ account, kinds }) => ({
      account,
      revision: 1,
      contract: { account, kinds, tokenDigests: [createHash('sha256').update(`token-${account}`).digest('hex')], requestsPerSecond: 1000, tokensPerSecond: 1e6 },
      operator: 'test',
      atMs: 0,
      token: account
    }))
  }

  find (account: string): ContractRevision | undefined {
    return this.revisions.find(revision => revision.account === account)
  }

  findByTokenDigest (digest: string): ContractRevision | undefined {
    return this.revisions.find(revision => revision.contract?.tokenDigests.includes(digest))
  }

  list (): readonly ContractRevision[] {
    return this.revisions
  }

  onApplied (): () => void {
    return () => {}
  }
}

import { createHash } from 'node:crypto'
import { exampleDeployments } from '../examples/exampleDeployments.js'
import type { ContractRevision } from '../../src/types/contractRevision.js'

/** Builds the contracts of `count` accounts, each as large as a contract of the example deployments. */
export function buildContracts (count: number): readonly ContractRevision[] {
  const examples = Object.values(exampleDeployments).flatMap(example => example.contracts)
  return Array.from({ length: count }, (_, i) => {
    const account = `account-${i}`
    const contract = structuredClone(examples[i % examples.length]!)
    const tokenDigests = contract.tokenDigests.map(() => createHash('sha256').update(account).digest('hex'))
    return { account, revision: 1, contract: { ...contract, account, tokenDigests }, operator: 'operator', atMs: 1_700_000_000_000, token: `token-${i}` }
  })
}

import { createHash } from 'node:crypto'
import type { Contract } from '../../types/contract.js'
import type { ContractView } from '../../types/contractView.js'
import { RequestError } from '../requests/requestError.js'

/** Finds the contract that a bearer token belongs to. Throws `RequestError`. */
export function findContractByToken (contracts: ContractView, authorization: string | undefined): Contract {
  const token = /^Bearer +(\S+)$/i.exec(authorization ?? '')?.[1]
  if (token === undefined) throw new RequestError('unauthorized', 'a bearer token is required', 401, 'not_run')
  const revision = contracts.findByTokenDigest(createHash('sha256').update(token).digest('hex'))
  if (!revision?.contract) throw new RequestError('unauthorized', 'the bearer token belongs to no contract', 401, 'not_run')
  return revision.contract
}

import type { AdminHandler } from '../../types/adminHandler.js'
import type { AdminRequest } from '../../types/adminRequest.js'
import type { AdminResponse } from '../../types/adminResponse.js'
import type { createContracts } from '../contracts/createContracts.js'
import { parseContract } from '../contracts/parseContract.js'
import { RequestError } from '../requests/requestError.js'

/** Reads and changes contracts over the administration API. */
export class ContractAdminHandler implements AdminHandler {
  constructor (private readonly contracts: ReturnType<typeof createContracts>) {}

  async handle (request: AdminRequest): Promise<AdminResponse> {
    const status = /^\/admin\/v1\/contracts\/([^/]+)\/status$/.exec(request.path)?.[1]
    if (status !== undefined) return { status: 200, body: await this.contracts.readStatus(status) }
    const [, account] = /^\/admin\/v1\/contracts(?:\/([^/]+))?$/.exec(request.path) ?? []
    if (request.method === 'GET') return { status: 200, body: account === undefined ? this.contracts.store.list() : this.contracts.store.find(account) }
    if (request.method !== 'PUT' || account === undefined) throw new RequestError('not_found', 'no such path', 404, 'not_run')
    const contract = parseContract(request.body)
    const revision = await this.contracts.writeChange({ account, contract, operator: 'operator', expectedRevision: Number(request.headers['if-match'] ?? 0) })
    return { status: 200, body: { revision: revision.revision } }
  }
}

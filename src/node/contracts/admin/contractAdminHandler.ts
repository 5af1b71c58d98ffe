import type { AdminHandler } from '../../../types/adminHandler.js'
import type { AdminRequest } from '../../../types/adminRequest.js'
import type { AdminResponse } from '../../../types/adminResponse.js'
import type { ContractRevision } from '../../../types/contractRevision.js'
import type { Logger } from '../../../types/logger.js'
import type { MembershipView } from '../../../types/membershipView.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { ContractPropagation } from '../contractPropagation.js'
import { InvalidContractError } from '../invalidContractError.js'
import { parseContract } from '../parseContract.js'
import { validateContract } from '../validateContract.js'
import { AdminRequestError } from './adminRequestError.js'
import { buildErrorResponse } from './buildErrorResponse.js'
import { parseIfMatch } from './parseIfMatch.js'
import { watchRevisions } from './watchRevisions.js'

interface AdminDependencies {
  readonly contracts: ContractPropagation
  readonly membership: MembershipView
  readonly scheduler: Scheduler
  readonly logger: Logger
  /** Starts draining this host; resolves to the state to report. */
  readonly startDrain: () => Promise<unknown>
  /** Returns the burn report as a JSON value. */
  readonly readBurn: (query: Readonly<Record<string, string>>) => Promise<unknown>
}

type RouteHandler = (request: AdminRequest, account: string) => Promise<AdminResponse> | AdminResponse
type RouteHandlers = Readonly<Partial<Record<AdminRequest['method'], RouteHandler>>>

/** Administration API under `/admin/v1`; section 6 of docs/design.md lists its resources. */
export class ContractAdminHandler implements AdminHandler {
  private readonly fixedRoutes: Readonly<Record<string, RouteHandlers>>
  private readonly accountRoutes: Readonly<Record<string, RouteHandlers>>

  constructor (private readonly dependencies: AdminDependencies) {
    this.fixedRoutes = {
      contracts: { GET: () => this.listContracts() },
      'contracts/watch': { GET: request => this.watchContracts(request) },
      hosts: { GET: () => this.listHosts() },
      drain: { POST: async () => buildJson(202, await dependencies.startDrain()) },
      burn: { GET: async request => buildJson(200, await dependencies.readBurn(request.query)) }
    }
    this.accountRoutes = {
      '': {
        GET: async (_request, account) => await this.readContract(account),
        PUT: async (request, account) => await this.writeContract(request, account),
        DELETE: async (request, account) => await this.removeContract(request, account)
      },
      history: { GET: async (_request, account) => buildJson(200, { account, revisions: await dependencies.contracts.listHistory(account) }) },
      status: { GET: async (_request, account) => buildJson(200, await dependencies.contracts.readStatus(account)) }
    }
  }

  async handle (request: AdminRequest): Promise<AdminResponse> {
    try {
      const { routes, account } = this.findRoutes(request.path)
      const route = routes[request.method]
      if (!route) throw new AdminRequestError('method_not_allowed', 405, `${request.method} is not offered here`)
      return await route(request, account)
    } catch (error) {
      const response = buildErrorResponse(error)
      if (response.status === 500) this.dependencies.logger.recordError('administration request failed', { path: request.path, reason: String(error) })
      return response
    }
  }

  private findRoutes (path: string): { readonly routes: RouteHandlers, readonly account: string } {
    const resource = path.replace(/^\/admin\/v1\//, '').replace(/\/$/, '')
    const fixed = Object.hasOwn(this.fixedRoutes, resource) ? this.fixedRoutes[resource] : undefined
    if (fixed) return { routes: fixed, account: '' }
    const match = /^contracts\/([^/]+)(?:\/([a-z]+))?$/.exec(resource)
    const name = match?.[2] ?? ''
    const routes = match && Object.hasOwn(this.accountRoutes, name) ? this.accountRoutes[name] : undefined
    if (!match || !routes) throw new AdminRequestError('not_found', 404, 'there is no such resource')
    return { routes, account: decodeAccount(match[1] as string) }
  }

  private listContracts (): AdminResponse {
    const contracts = [...this.dependencies.contracts.store.list()].sort((a, b) => a.account < b.account ? -1 : 1)
    return buildJson(200, { confirmed: this.dependencies.contracts.isConfirmed(), contracts })
  }

  private async readContract (account: string): Promise<AdminResponse> {
    const { revision, isConfirmed } = await this.dependencies.contracts.readRevision(account)
    if (!revision?.contract) throw createNotFoundError(account, revision)
    return buildJson(200, { ...revision, confirmed: isConfirmed }, revision)
  }

  private async writeContract (request: AdminRequest, account: string): Promise<AdminResponse> {
    const expectedRevision = parseIfMatch(request.ifMatch)
    const faults = [...validateContract(request.body)]
    if ((request.body as { account?: unknown } | undefined)?.account !== account) faults.push({ path: 'account', message: 'differs from the account of the path' })
    if (faults.length > 0) throw new InvalidContractError(faults)
    const contract = parseContract(request.body)
    const revision = await this.dependencies.contracts.writeChange({ account, contract, expectedRevision, operator: request.operator })
    return buildJson(expectedRevision === 0 ? 201 : 200, { account, revision: revision.revision }, revision)
  }

  private async removeContract (request: AdminRequest, account: string): Promise<AdminResponse> {
    const expectedRevision = parseIfMatch(request.ifMatch)
    const known = (await this.dependencies.contracts.readRevision(account)).revision
    // Otherwise deleting a contract that does not exist would create a revision.
    if (expectedRevision === 0 || (known?.revision === expectedRevision && known.contract === null)) throw createNotFoundError(account, known)
    const revision = await this.dependencies.contracts.writeChange({ account, contract: null, expectedRevision, operator: request.operator })
    return buildJson(200, { account, revision: revision.revision, deleted: true }, revision)
  }

  private watchContracts (request: AdminRequest): AdminResponse {
    const { contracts, scheduler } = this.dependencies
    return { status: 200, body: { type: 'lines', lines: watchRevisions(contracts.store, scheduler, () => contracts.isConfirmed(), request.signal) } }
  }

  private listHosts (): AdminResponse {
    const { membership } = this.dependencies
    const hosts = [...membership.listHosts()].sort((a, b) => a.id < b.id ? -1 : 1)
    return buildJson(200, { self: membership.getSelf().id, hosts })
  }
}

function buildJson (status: number, value: unknown, revision?: ContractRevision): AdminResponse {
  const body = { type: 'json', value } as const
  return revision ? { status, headers: { etag: `"${revision.revision}"` }, body } : { status, body }
}

function createNotFoundError (account: string, revision: ContractRevision | undefined): AdminRequestError {
  const detail = revision ? `; it was deleted by revision ${revision.revision}` : ''
  return new AdminRequestError('contract_not_found', 404, `there is no contract of ${account}${detail}`)
}

function decodeAccount (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    throw new AdminRequestError('not_found', 404, 'the path is not a valid encoding')
  }
}

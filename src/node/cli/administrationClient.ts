import { z } from 'zod'
import { cliConstants } from './constants.js'
import { parseBurnReport } from '../burn/parseBurnReport.js'
import { InvalidServerResponseError } from './invalidServerResponseError.js'
import { ServerConnection } from './serverConnection.js'
import { ServerResponseError } from './serverResponseError.js'
import type { BurnReport } from '../burn/burnReport.js'
import type { Contract } from '../../types/contract.js'
import type { ContractRevision } from '../../types/contractRevision.js'
import type { ContractStatus } from './contractStatus.js'

const revisionSchema = z.looseObject({
  account: z.string(),
  revision: z.number().int().min(1),
  contract: z.looseObject({ account: z.string() }).nullable()
})
const listSchema = z.preprocess(
  // The server sends a list as a plain array or as the only field of an object.
  value => Array.isArray(value) ? value : Object.values(value as object)[0],
  z.array(revisionSchema))
const statusSchema = z.object({ accepted: z.number(), inForce: z.number(), hosts: z.number(), perHost: z.array(z.record(z.string(), z.unknown())) })

/**
 * Client of the administration API of one entry host. All methods reject with `ServerUnreachableError`,
 * `ServerResponseError` or `InvalidServerResponseError`.
 */
export class AdministrationClient {
  private readonly connection: ServerConnection

  constructor (server: string, token: string) {
    this.connection = new ServerConnection(server, token)
  }

  async listContracts (): Promise<readonly ContractRevision[]> {
    return parseResponse(await this.connection.send('/admin/v1/contracts'), value => listSchema.parse(value)) as never
  }

  /** Finds the newest revision of a contract, which may be a deletion; undefined when the account never had one. */
  async findContract (account: string): Promise<ContractRevision | undefined> {
    try {
      return parseResponse(await this.connection.send(buildPath(account)), value => revisionSchema.parse(value)) as never
    } catch (error) {
      if (!isNotFound(error)) throw error
      return await this.findDeletion(account)
    }
  }

  /** Resolves with the accepted revision. An `expectedRevision` of 0 states that the account has no contract yet. */
  async applyContract (contract: Contract, expectedRevision: number): Promise<number> {
    const response = await this.connection.send(buildPath(contract.account), { method: 'PUT', headers: buildIfMatchHeader(expectedRevision), body: contract })
    return parseResponse(response, parseRevisionNumber)
  }

  async removeContract (account: string, expectedRevision: number): Promise<number> {
    const response = await this.connection.send(buildPath(account), { method: 'DELETE', headers: buildIfMatchHeader(expectedRevision) })
    return parseResponse(response, parseRevisionNumber)
  }

  async listHistory (account: string): Promise<readonly ContractRevision[]> {
    return parseResponse(await this.connection.send(`${buildPath(account)}/history`), value => listSchema.parse(value)) as never
  }

  async readStatus (account: string): Promise<ContractStatus> {
    return parseResponse(await this.connection.send(`${buildPath(account)}/status`), value => statusSchema.parse(value))
  }

  /** Finds the deletion of a contract in its history, because the next change must name the revision of the deletion. */
  private async findDeletion (account: string): Promise<ContractRevision | undefined> {
    try {
      const revisions = [...await this.listHistory(account)].sort((a, b) => b.revision - a.revision)
      return revisions[0]?.contract === null ? revisions[0] : undefined
    } catch (error) {
      if (!isNotFound(error)) throw error
      return undefined
    }
  }

  /** Yields accepted revisions as they happen, until the stream breaks or `signal` aborts. */
  async * watchContracts (signal: AbortSignal): AsyncGenerator<ContractRevision> {
    for await (const value of this.connection.openJsonLines('/admin/v1/contracts/watch', cliConstants.watchSilenceTimeoutMs, signal)) {
      // Lines without an account are heartbeats.
      if (!hasAccount(value)) continue
      yield parseResponse(value, line => revisionSchema.parse(line)) as never
    }
  }

  /** Starts a drain of the connected host; resolves with the host's response. */
  async drain (): Promise<Readonly<Record<string, unknown>>> {
    return parseResponse(await this.connection.send('/admin/v1/drain', { method: 'POST' }), value => z.record(z.string(), z.unknown()).parse(value))
  }

  async readBurn (): Promise<BurnReport> {
    return parseResponse(await this.connection.send('/admin/v1/burn'), parseBurnReport)
  }
}

function isNotFound (error: unknown): boolean {
  return error instanceof ServerResponseError && error.httpStatus === 404
}

function hasAccount (value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'account' in value
}

function buildPath (account: string): string {
  return `/admin/v1/contracts/${encodeURIComponent(account)}`
}

function buildIfMatchHeader (revision: number): Readonly<Record<string, string>> {
  return { 'if-match': String(revision) }
}

function parseRevisionNumber (value: unknown): number {
  return z.object({ revision: z.number().int().min(1) }).parse(value).revision
}

function parseResponse<Result> (value: unknown, parse: (value: unknown) => Result): Result {
  try {
    return parse(value)
  } catch (error) {
    const reason = error instanceof z.ZodError ? z.prettifyError(error) : String(error)
    throw new InvalidServerResponseError(`the response has an unexpected form: ${reason.split('\n').slice(0, 4).join('; ')}`, { cause: error })
  }
}

import { setTimeout as waitMs } from 'node:timers/promises'
import { Agent, request } from 'undici'
import type { Random } from '../../../src/types/random.js'
import type { Contract } from '../../../src/types/contract.js'
import type { ExampleDeployment } from '../../examples/exampleDeployment.js'
import { ProcessError } from '../../processes/processError.js'
import type { EntryHostProcess } from '../../processes/entryHostProcess.js'
import { proveConstants } from '../constants.js'
import type { AcceptedChange } from '../history/acceptedChange.js'
import type { InForceExpectation } from '../history/inForceExpectation.js'
import type { RevisionObservation } from '../history/revisionObservation.js'

/** A host that was cut off for 10 s takes no change until it has confirmed its contracts. */
const maxAttempts = 20

/** Changes contracts as operators do, and polls each host for the revision in force there. */
export class Operators {
  readonly changes: AcceptedChange[] = []
  readonly revisions: RevisionObservation[] = []
  readonly inForceExpectations: InForceExpectation[] = []
  private readonly agent = new Agent({ pipelining: 0, connect: { timeout: 500 } })
  private readonly polledAccounts = new Set<string>()
  private isStopped = false
  private polling: Promise<unknown> = Promise.resolve()

  constructor (private readonly example: ExampleDeployment, private readonly listHosts: () => readonly EntryHostProcess[]) {}

  /** Begins the polls; hosts are polled for the contracts that operators have changed. */
  start (): void {
    this.polling = Promise.all(this.listHosts().map(host => this.watchHost(host)))
  }

  async stop (): Promise<void> {
    this.isStopped = true
    await this.polling
    await this.agent.destroy()
  }

  /** Changes a contract on the basis of a revision; resolves with the accepted revision, undefined when it was not or is uncertain. */
  async writeChange (host: EntryHostProcess, account: string, operator: string, baseRevision: number): Promise<number | undefined> {
    this.polledAccounts.add(account)
    const contract = this.example.contracts.find(contract => contract.account === account) as Contract
    const body = { ...contract, requestsPerSecond: contract.requestsPerSecond + this.changes.length + 1 }
    const startMs = Date.now()
    const answer = await this.sendCall(host, 'PUT', account, proveConstants.operatorTimeoutMs, body, baseRevision)
    const revision = (answer as { revision?: unknown } | undefined)?.revision
    const acceptedRevision = typeof revision === 'number' ? revision : undefined
    this.changes.push({ account, operator, baseRevision, acceptedRevision, startMs, endMs: Date.now() })
    return acceptedRevision
  }

  /**
   * Two operators change one contract at the same time at two hosts, on the basis of the revision that is
   * in force there. Resolves with the highest accepted revision, 0 when none was.
   */
  async writeConcurrently (hosts: readonly EntryHostProcess[], account: string, random: Random): Promise<number> {
    const base = Math.max(0, ...await Promise.all(hosts.map(async host => await this.readRevision(host, account) ?? 0)))
    const start = Math.floor(random() * hosts.length)
    const pair = [hosts[start], hosts[(start + 1) % hosts.length]] as const
    const accepted = await Promise.all(pair.map((host, index) => this.writeChange(host as EntryHostProcess, account, `operator ${index + 1}`, base)))
    return Math.max(0, ...accepted.map(revision => revision ?? 0))
  }

  /** Writes like `writeTwice` until a change is accepted, then expects it in force on `live` hosts within 5 s. */
  async writeUntilInForce (hosts: readonly EntryHostProcess[], account: string, random: Random, expectedHosts = hosts): Promise<number> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const revision = await this.writeConcurrently(hosts, account, random)
      if (revision > 0) {
        await this.waitInForce(account, revision, expectedHosts)
        return revision
      }
      await waitMs(300)
    }
    throw new ProcessError(`no change of ${account} was accepted in ${maxAttempts} tries`)
  }

  /** Revision in force at a host; undefined when the host does not answer. */
  async readRevision (host: EntryHostProcess, account: string): Promise<number | undefined> {
    this.polledAccounts.add(account)
    // The list shows what the host has in force; a single contract is read from the key-value service.
    const answer = await this.sendCall(host, 'GET', '', proveConstants.pollTimeoutMs)
    const { contracts = [] } = (answer ?? {}) as { readonly contracts?: ReadonlyArray<{ readonly account: string, readonly revision: number }> }
    return contracts.find(contract => contract.account === account)?.revision
  }

  /** Expects a revision on each host within 5 s from now, and waits for that time. */
  async waitInForce (account: string, revision: number, hosts: readonly EntryHostProcess[] = this.listHosts()): Promise<void> {
    const byMs = Date.now() + proveConstants.inForceMs
    for (const host of hosts) this.inForceExpectations.push({ hostId: host.id, account, revision, dueAtMs: byMs })
    await waitMs(proveConstants.inForceMs + 2 * proveConstants.pollIntervalMs)
  }

  private async watchHost (host: EntryHostProcess): Promise<void> {
    while (!this.isStopped) {
      for (const account of this.polledAccounts) {
        const incarnation = host.process.pid ?? 0
        const revision = await this.readRevision(host, account)
        // A frozen host answers late with a revision that it had before, so the time of the answer counts.
        if (revision !== undefined && incarnation === host.process.pid) this.revisions.push({ hostId: host.id, incarnation, account, revision, atMs: Date.now() })
      }
      await waitMs(proveConstants.pollIntervalMs)
    }
  }

  private async sendCall (host: EntryHostProcess, method: 'GET' | 'PUT', account: string, timeoutMs: number, body?: unknown, baseRevision?: number): Promise<unknown> {
    try {
      const answer = await request(`http://${host.address}/admin/v1/contracts${account === '' ? '' : `/${account}`}`, {
        method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(timeoutMs),
        body: body === undefined ? undefined : JSON.stringify(body),
        headers: { authorization: `Bearer ${this.example.operatorToken}`, 'content-type': 'application/json', ...(baseRevision === undefined ? {} : { 'if-match': String(baseRevision) }) }
      })
      const text = await answer.body.text()
      return answer.statusCode === 200 ? JSON.parse(text) : undefined
    } catch {
      // A host that is down or frozen gives no answer; the change is then uncertain.
      return undefined
    }
  }
}

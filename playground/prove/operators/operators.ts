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

/** A host that was cut off for 10 s refuses changes until it has confirmed its contracts, so changes are retried. */
const maxAttempts = 20

/** Changes contracts through the administration API and polls each host for the revisions in force there. */
export class Operators {
  readonly changes: AcceptedChange[] = []
  readonly revisions: RevisionObservation[] = []
  readonly inForceExpectations: InForceExpectation[] = []
  private readonly agent = new Agent({ pipelining: 0, connect: { timeout: 500 } })
  private readonly polledAccounts = new Set<string>()
  private isStopped = false
  private polling: Promise<unknown> = Promise.resolve()

  constructor (private readonly example: ExampleDeployment, private readonly listHosts: () => readonly EntryHostProcess[]) {}

  /** Starts to poll all hosts for the contracts that were changed or read. */
  start (): void {
    this.polling = Promise.all(this.listHosts().map(host => this.watchHost(host)))
  }

  async stop (): Promise<void> {
    this.isStopped = true
    await this.polling
    await this.agent.destroy()
  }

  /** Changes a contract based on a revision; resolves with the accepted revision, or undefined when the change was refused or its outcome is unknown. */
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
   * Two operators change one contract at the same time at two hosts, based on the highest revision in force.
   * Resolves with the highest accepted revision, or 0 when none was accepted.
   */
  async writeConcurrently (hosts: readonly EntryHostProcess[], account: string, random: Random): Promise<number> {
    const base = Math.max(0, ...await Promise.all(hosts.map(async host => await this.readRevision(host, account) ?? 0)))
    const start = Math.floor(random() * hosts.length)
    const pair = [hosts[start], hosts[(start + 1) % hosts.length]] as const
    const accepted = await Promise.all(pair.map((host, index) => this.writeChange(host as EntryHostProcess, account, `operator ${index + 1}`, base)))
    return Math.max(0, ...accepted.map(revision => revision ?? 0))
  }

  /** Repeats `writeConcurrently` until a change is accepted, then expects it in force on `expectedHosts` within 5 s. */
  async writeUntilInForce (hosts: readonly EntryHostProcess[], account: string, random: Random, expectedHosts = hosts): Promise<number> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const revision = await this.writeConcurrently(hosts, account, random)
      if (revision > 0) {
        await this.waitInForce(account, revision, expectedHosts)
        return revision
      }
      await waitMs(300)
    }
    throw new ProcessError(`no change to the contract of ${account} was accepted in ${maxAttempts} attempts`)
  }

  /** Reads the revision in force on a host; undefined when the host does not answer. */
  async readRevision (host: EntryHostProcess, account: string): Promise<number | undefined> {
    this.polledAccounts.add(account)
    // The list contains the revisions in force on the host; a single contract would be read from the key-value service.
    const answer = await this.sendCall(host, 'GET', '', proveConstants.pollTimeoutMs)
    const { contracts = [] } = (answer ?? {}) as { readonly contracts?: ReadonlyArray<{ readonly account: string, readonly revision: number }> }
    return contracts.find(contract => contract.account === account)?.revision
  }

  /** Expects a revision on each host within 5 s from now, and waits for that time. */
  async waitInForce (account: string, revision: number, hosts: readonly EntryHostProcess[] = this.listHosts()): Promise<void> {
    const dueAtMs = Date.now() + proveConstants.inForceMs
    for (const host of hosts) this.inForceExpectations.push({ hostId: host.id, account, revision, dueAtMs })
    await waitMs(proveConstants.inForceMs + 2 * proveConstants.pollIntervalMs)
  }

  private async watchHost (host: EntryHostProcess): Promise<void> {
    while (!this.isStopped) {
      for (const account of this.polledAccounts) {
        const incarnation = host.process.pid ?? 0
        const revision = await this.readRevision(host, account)
        // A frozen host answers late with an older revision, so the observation gets the time of the answer.
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
      // A host that is down or frozen does not answer; the outcome of the change is then unknown.
      return undefined
    }
  }
}

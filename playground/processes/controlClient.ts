import { setTimeout as waitMs } from 'node:timers/promises'
import { Agent, request } from 'undici'
import type { Contract } from '../../src/types/contract.js'
import type { HostListEntry } from '../../src/types/hostListEntry.js'
import { processConstants } from './constants.js'
import { ProcessError } from './processError.js'

interface Call {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly url: string
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
}

/** Client for the control endpoints of the stand-ins and the administration API of the entry hosts. */
export class ControlClient {
  // Each call has a connection of its own, because faults of open connections must not affect control calls.
  private readonly agent = new Agent({ pipelining: 0 })

  async setFaults (address: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.sendCall({ method: 'POST', url: `http://${address}/control/faults`, body: faults })
  }

  async writeHostList (address: string, hosts: readonly HostListEntry[]): Promise<void> {
    await this.sendCall({ method: 'PUT', url: `http://${address}/hosts`, body: { hosts } })
  }

  async readLog (address: string): Promise<readonly Readonly<Record<string, unknown>>[]> {
    const text = await this.sendCall({ method: 'GET', url: `http://${address}/control/log` })
    return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line))
  }

  async writeContract (address: string, operatorToken: string, contract: Contract, revision = 0): Promise<void> {
    await this.sendCall({
      method: 'PUT',
      url: `http://${address}/admin/v1/contracts/${contract.account}`,
      body: contract,
      headers: { authorization: `Bearer ${operatorToken}`, 'if-match': String(revision) }
    })
  }

  /** Resolves when the accepted revision is in force on every live host. */
  async waitInForce (address: string, operatorToken: string, account: string): Promise<void> {
    const untilMs = performance.now() + processConstants.startTimeoutMs
    let lastStatus = ''
    while (performance.now() < untilMs) {
      lastStatus = await this.sendCall({ method: 'GET', url: `http://${address}/admin/v1/contracts/${account}/status`, headers: { authorization: `Bearer ${operatorToken}` } })
      const status = JSON.parse(lastStatus)
      if (status.accepted > 0 && status.inForce === status.hosts) return
      await waitMs(processConstants.pollIntervalMs)
    }
    throw new ProcessError(`the contract of ${account} was not in force on every host after ${processConstants.startTimeoutMs} ms: ${lastStatus}`)
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async sendCall (call: Call): Promise<string> {
    try {
      const answer = await request(call.url, {
        method: call.method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(processConstants.controlTimeoutMs),
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
        headers: { 'content-type': 'application/json', ...call.headers }
      })
      const text = await answer.body.text()
      if (answer.statusCode < 300) return text
      throw new ProcessError(`${call.method} ${call.url} answered ${answer.statusCode}: ${text}`)
    } catch (error) {
      if (error instanceof ProcessError) throw error
      throw new ProcessError(`${call.method} ${call.url} failed: ${String(error)}`, { cause: error })
    }
  }
}

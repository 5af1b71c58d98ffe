import { setTimeout as waitMs } from 'node:timers/promises'
import { Agent, request } from 'undici'
import type { Random } from '../../src/types/random.js'
import { callerConstants } from './constants.js'
import type { CallerBehaviour } from './callerBehaviour.js'
import type { CallerRequest } from './callerRequest.js'
import { RequestAttempts } from './requestAttempts.js'
import type { RequestRecord } from './requestRecord.js'
import { RouteSource } from './routeSource.js'

interface CallerOptions {
  readonly account: string
  readonly token: string
  /** Addresses (`ip:port`) of entry hosts. */
  readonly entryAddresses: readonly string[]
  readonly random: Random
  /** One-way delay between the caller and the entry hosts. @default 0 */
  readonly linkDelayMs?: number
  /** Time without a byte after which the request is rejoined at another address. @default 3000 */
  readonly silenceMs?: number
  readonly behaviour?: CallerBehaviour
}

/** A caller of one client account: reads the route from an entry host, sends requests and checks the answers. */
export class CallerClient {
  private readonly agent = new Agent({ connect: { timeout: callerConstants.connectTimeoutMs }, keepAliveTimeout: 10_000 })
  private readonly routes: RouteSource

  constructor (private readonly options: CallerOptions) {
    this.routes = new RouteSource({ ...options, dispatcher: this.agent })
  }

  /** Sends a request, rejoins and retries as needed, and resolves with a record of its outcome; never rejects. */
  async sendRequest (callerRequest: CallerRequest): Promise<RequestRecord> {
    const { linkDelayMs = 0, silenceMs = callerConstants.silenceMs, account, token } = this.options
    const attempts = new RequestAttempts({
      request: callerRequest,
      account,
      token,
      silenceMs,
      behaviour: this.options.behaviour ?? {},
      dispatcher: this.agent,
      routes: this.routes,
      waitForLinkDelay: async () => { if (linkDelayMs > 0) await waitMs(2 * linkDelayMs) },
      cancelRequest: (address, requestId) => this.cancelRequest(address, requestId)
    })
    return attempts.runRequest()
  }

  /** Cancels a request at a host; an error is ignored. */
  async cancelRequest (address: string, requestId: string): Promise<void> {
    try {
      const answer = await request(`http://${address}/v1/requests/${requestId}`, {
        method: 'DELETE',
        dispatcher: this.agent,
        headers: { authorization: `Bearer ${this.options.token}` },
        signal: AbortSignal.timeout(callerConstants.cancelTimeoutMs)
      })
      await answer.body.dump()
    } catch {
      // Without the cancellation the request ends at its deadline.
    }
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }
}

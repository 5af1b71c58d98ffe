import { z } from 'zod'
import { HostListUnavailableError } from '../../shared/hostListUnavailableError.js'
import type { HostList } from '../../types/hostList.js'
import { HttpLink } from './httpLink.js'
import { platformConstants } from './constants.js'

const hostsSchema = z.object({
  hosts: z.array(z.object({
    id: z.string(),
    address: z.string(),
    peerAddress: z.string().optional(),
    role: z.string(),
    failureDomain: z.string(),
    state: z.enum(['live', 'leaving'])
  }))
})

interface HttpHostListOptions {
  /** Base URL, e.g. `http://127.0.0.1:7002`. */
  readonly baseUrl: string
  /** Sent as `X-Host-Id` with each call. */
  readonly hostId: string
}

/** Adapter of the platform's host list; a read ends within 1 s. */
export function createHttpHostList (options: HttpHostListOptions): HostList & { close (): Promise<void> } {
  const link = new HttpLink(options.baseUrl, { 'x-host-id': options.hostId }, platformConstants.callTimeoutMs)
  return {
    read: async () => {
      try {
        const answer = await link.send('GET', '/hosts')
        if (answer.status === 200) return hostsSchema.parse(JSON.parse(answer.body)).hosts
        throw new HostListUnavailableError(`the host list answered with status ${answer.status}`)
      } catch (error) {
        if (error instanceof HostListUnavailableError) throw error
        throw new HostListUnavailableError('the host list did not give a readable answer', { cause: error })
      }
    },
    close: async () => { await link.close() }
  }
}

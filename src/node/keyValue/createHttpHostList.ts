import { z } from 'zod'
import { HostListUnavailableError } from '../../shared/hostListUnavailableError.js'
import type { HostList } from '../../types/hostList.js'
import { HttpClient } from './httpClient.js'
import { keyValueConstants } from './constants.js'

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
  /** Sent as `X-Host-Id` with every request. */
  readonly hostId: string
}

/** Creates an HTTP client of the platform's host list. A read completes or fails within 1 s. */
export function createHttpHostList (options: HttpHostListOptions): HostList & { close (): Promise<void> } {
  const client = new HttpClient(options.baseUrl, { 'x-host-id': options.hostId }, keyValueConstants.callTimeoutMs)
  return {
    read: async () => {
      try {
        const response = await client.send('GET', '/hosts')
        if (response.status === 200) return hostsSchema.parse(JSON.parse(response.body)).hosts
        throw new HostListUnavailableError(`the host list answered with status ${response.status}`)
      } catch (error) {
        if (error instanceof HostListUnavailableError) throw error
        throw new HostListUnavailableError('the host list gave no readable response', { cause: error })
      }
    },
    close: async () => { await client.close() }
  }
}

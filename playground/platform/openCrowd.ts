import { setTimeout as delay } from 'node:timers/promises'
import { CrowdClient } from './crowdClient.js'
import type { ClientCrowd } from './clientCrowd.js'

interface CrowdOptions {
  readonly crowd: ClientCrowd
  /** Address and path to which the crowd sends. */
  readonly address: string
  readonly path: string
  /** Header lines that each request of the crowd has besides its own. */
  readonly fields: string
}

/** Connections that are opened in one go, so that the backlog of the listening socket does not lose any. */
const openedAtOnce = 25

/** Opens the connections of a crowd and lets its clients send; resolves when they have sent what they send. */
export async function openCrowd ({ crowd, address, path, fields }: CrowdOptions): Promise<readonly CrowdClient[]> {
  const clients: CrowdClient[] = []
  const sent: Array<Promise<void>> = []
  for (let index = 0; index < crowd.count; index++) {
    const client = new CrowdClient(address, path, fields)
    clients.push(client)
    sent.push(crowd.run(client, index))
    if (index % openedAtOnce === openedAtOnce - 1) await delay(10)
  }
  await Promise.all(sent)
  return clients
}

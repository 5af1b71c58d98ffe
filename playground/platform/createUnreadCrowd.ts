import type { ClientCrowd } from './clientCrowd.js'
import type { CrowdClient } from './crowdClient.js'

const requestCount = 42
const pauseMs = 150

/**
 * Creates a crowd whose clients ask for one answer after the other and read none. With answers of 190 KB, the sockets
 * take the first 4 MB; from then on, the host holds a few answers for each client, too little for a bound of its memory.
 */
export function createUnreadCrowd (count: number, buildRequest: (client: CrowdClient, id: string) => string): ClientCrowd {
  return {
    name: 'clients that each keep a little of an answer unread',
    count,
    run: async (client, index) => {
      const requests = Array.from({ length: requestCount }, (_, i) => buildRequest(client, `unread-${index}-${i}`))
      await client.sendPieces(requests, pauseMs)
    }
  }
}

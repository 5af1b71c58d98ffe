import type { Server } from 'node:http'
import { serverConstants } from './constants.js'

/** Closes the server's port; resolves when the answers that are on their way have left. */
export async function closeCallerServer (server: Server): Promise<void> {
  // Connections that become idle after `close` would stay until their keep-alive timeout.
  const timer = setInterval(() => server.closeIdleConnections(), serverConstants.idleConnectionCheckMs)
  await new Promise<void>(resolve => server.close(() => resolve()))
  clearInterval(timer)
}

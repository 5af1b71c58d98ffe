import type { Server } from 'node:http'
import { serverConstants } from './constants.js'

/** Closes the server's port; resolves when the responses in progress have been sent. */
export async function closeCallerServer (server: Server): Promise<void> {
  // Connections that become idle after `close` would stay open until their keep-alive timeout.
  const timer = setInterval(() => server.closeIdleConnections(), serverConstants.idleConnectionCheckMs)
  await new Promise<void>(resolve => server.close(() => resolve()))
  clearInterval(timer)
}

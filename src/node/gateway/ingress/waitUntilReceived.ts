import type { IncomingMessage } from 'node:http'

/** Reads the rest of a request without keeping it; resolves at its end, or after the timeout. */
export async function waitUntilReceived (message: IncomingMessage, timeoutMs: number): Promise<void> {
  if (message.destroyed) return
  await new Promise<void>(resolve => {
    const timer = setTimeout(resolve, timeoutMs)
    const end = (): void => {
      clearTimeout(timer)
      resolve()
    }
    message.once('end', end)
    message.once('close', end)
    message.on('error', end)
    message.resume()
  })
}

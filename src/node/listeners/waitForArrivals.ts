import { setImmediate as waitForCheck } from 'node:timers/promises'

/**
 * Resolves when the event loop has taken in the connections that waited at its listeners, and what had arrived at its
 * sockets. Timers run before that: after a long turn, they would act on connections whose requests are not read yet.
 */
export async function waitForArrivals (): Promise<void> {
  // The first turn may have begun before the call; the second one also reads from connections that it has accepted.
  await waitForCheck()
  await waitForCheck()
}

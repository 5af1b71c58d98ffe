import { cliConstants } from './constants.js'
import type { CommandLineDependencies } from './commandLineDependencies.js'
import type { RunningHost } from './runningHost.js'

/**
 * Runs a host; the first signal drains it. Resolves with the exit status: 0 after a drain, 128 plus the signal
 * number when a second signal, or a signal during the start, stopped the host at once.
 */
export async function runHostUntilSignal (dependencies: CommandLineDependencies, startHost: () => Promise<RunningHost>): Promise<number> {
  let removeListener = (): void => {}
  let drainHost: (() => void) | undefined
  const interrupted = new Promise<number>(resolve => {
    let isDraining = false
    removeListener = dependencies.onSignal(signal => {
      // A host that is still starting has no requests to finish.
      if (drainHost === undefined || isDraining) return resolve(signal === 'SIGINT' ? 130 : 143)
      isDraining = true
      drainHost()
    })
  })
  try {
    return await Promise.race([interrupted, runUntilStopped()])
  } finally {
    removeListener()
  }

  async function runUntilStopped (): Promise<number> {
    const host = await startHost()
    drainHost = () => host.drain()
    await host.waitUntilStopped()
    return cliConstants.exitStatus.success
  }
}

import { cliConstants } from './constants.js'
import { decideSignal } from './decideSignal.js'
import { RateLimitedLogger } from '../gateway/logs/rateLimitedLogger.js'
import { systemClock } from '../../shared/systemClock.js'
import type { CommandLineDependencies } from './commandLineDependencies.js'
import type { HostState } from './hostState.js'
import type { Logger } from '../../types/logger.js'
import type { RunningHost } from './runningHost.js'

interface HostRun {
  readonly dependencies: CommandLineDependencies
  readonly logger: Logger
  startHost (): Promise<RunningHost>
  reloadSettings? (): void
}

/**
 * Runs a host; the first signal drains it. Resolves with the exit status: 0 after a drain, 128 plus the signal
 * number when a second signal, or a signal during the start, stopped the host at once.
 */
export async function runHostUntilSignal ({ dependencies, startHost, reloadSettings, ...run }: HostRun): Promise<number> {
  const logger = new RateLimitedLogger(run.logger, systemClock)
  let state: HostState = 'starting'
  let host: RunningHost | undefined
  const interrupted = new Promise<number>(resolve => {
    dependencies.onHostSignal(signal => {
      const outcome = decideSignal(signal, state, reloadSettings !== undefined)
      logger.recordInfo('signal received', { signal, state, outcome })
      if (outcome === 'reload' || outcome === 'reload after the start') reloadSettings?.()
      if (outcome === 'end') resolve(signal === 'SIGINT' ? 130 : 143)
      if (outcome !== 'drain') return
      state = 'draining'
      host!.drain()
    })
  })
  try {
    const status = await Promise.race([interrupted, runUntilStopped()])
    logger.recordInfo('process ends', { status, reason: status === 0 ? 'drained' : 'signal' })
    return status
  } catch (error) {
    logger.recordError('process ends', { status: cliConstants.exitStatus.failure, reason: (error as Error).message })
    throw error
  }

  async function runUntilStopped (): Promise<number> {
    host = await startHost()
    state = 'running'
    await host.waitUntilStopped()
    return cliConstants.exitStatus.success
  }
}

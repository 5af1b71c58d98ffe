import { cliConstants } from './constants.js'
import { computeExitStatus } from './computeExitStatus.js'
import { decideSignal } from './decideSignal.js'
import { RateLimitedLogger } from '../gateway/logs/rateLimitedLogger.js'
import { StartCancelledError } from './startCancelledError.js'
import { systemClock } from '../../shared/systemClock.js'
import type { CommandLineDependencies } from './commandLineDependencies.js'
import type { HostState } from './hostState.js'
import type { Logger } from '../../types/logger.js'
import type { RunningHost } from './runningHost.js'

interface HostRun {
  readonly dependencies: CommandLineDependencies
  readonly logger: Logger
  /** Resolves with a host that serves, also when `stopSignal` is aborted; rejects with its reason when none has begun to. */
  startHost (stopSignal: AbortSignal): Promise<RunningHost>
  reloadSettings? (): void
}

/**
 * Runs a host; the first stop signal drains it or cancels its start. Resolves with the exit status: 0 after that, 130
 * when a second SIGINT ended the drain.
 */
export async function runHostUntilSignal ({ dependencies, startHost, reloadSettings, ...run }: HostRun): Promise<number> {
  const logger = new RateLimitedLogger(run.logger, systemClock)
  let state: HostState = 'starting'
  let isInterrupted = false
  let host: RunningHost | undefined
  const stopping = new AbortController()
  const interrupted = new Promise<number>(resolve => {
    dependencies.onHostSignal(signal => {
      const outcome = decideSignal(signal, { state, isInterrupted, canReload: reloadSettings !== undefined })
      logger.recordInfo('signal received', { signal, state, outcome })
      if (outcome === 'reload' || outcome === 'reload after the start') reloadSettings?.()
      if (signal === 'SIGINT') isInterrupted = true
      if (outcome === 'end') resolve(cliConstants.exitStatus.interrupted)
      if (outcome !== 'drain' && outcome !== 'cancel the start') return
      state = 'draining'
      stopping.abort(new StartCancelledError('stopped during the start'))
      host?.drain()
    })
  })
  try {
    const status = await Promise.race([interrupted, runUntilStopped()])
    logger.recordInfo('process ends', { status, reason: status !== 0 ? 'second SIGINT' : host === undefined ? 'start cancelled' : 'drained' })
    return status
  } catch (error) {
    logger.recordError('process ends', { status: computeExitStatus(error), reason: (error as Error).message })
    throw error
  }

  async function runUntilStopped (): Promise<number> {
    try {
      stopping.signal.throwIfAborted()
      host = await startHost(stopping.signal)
    } catch (error) {
      if (error instanceof StartCancelledError) return cliConstants.exitStatus.success
      throw error
    }
    if (stopping.signal.aborted) host.drain()
    else state = 'running'
    await host.waitUntilStopped()
    return cliConstants.exitStatus.success
  }
}

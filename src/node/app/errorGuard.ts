import { gatewayConstants } from './gatewayConstants.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'

interface GuardedProcess {
  on (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void): unknown
  off (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void): unknown
  exit (status: number): void
}

interface GuardOptions {
  readonly process: GuardedProcess
  readonly logger: Logger
  readonly clock: Clock
}

/**
 * Keeps the process alive after an unexpected error in a callback: it concerns one request, and ending the process would
 * fail all others. Errors that keep coming are not of one request: then the process ends, and is started again.
 */
export class ErrorGuard {
  private readonly errorTimesMs: number[] = []
  private readonly onError = (error: unknown): void => { this.recordError(error) }

  constructor (private readonly options: GuardOptions) {}

  start (): void {
    this.options.process.on('uncaughtException', this.onError)
    this.options.process.on('unhandledRejection', this.onError)
  }

  stop (): void {
    this.options.process.off('uncaughtException', this.onError)
    this.options.process.off('unhandledRejection', this.onError)
  }

  private recordError (error: unknown): void {
    const { logger, clock, process } = this.options
    const { maxUnexpectedErrors, unexpectedErrorWindowMs, unexpectedErrorStatus } = gatewayConstants
    const nowMs = clock.readMonotonicMs()
    this.errorTimesMs.push(nowMs)
    while (this.errorTimesMs[0]! < nowMs - unexpectedErrorWindowMs) this.errorTimesMs.shift()
    const { message, stack } = error instanceof Error ? error : { message: String(error), stack: undefined }
    const isFatal = this.errorTimesMs.length > maxUnexpectedErrors
    const outcome = isFatal ? `the process ends with status ${unexpectedErrorStatus}` : 'the process goes on'
    logger.recordError('unexpected error', { reason: message, stack, outcome })
    if (isFatal) process.exit(unexpectedErrorStatus)
  }
}

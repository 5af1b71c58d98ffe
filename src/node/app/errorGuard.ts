import { gatewayConstants } from './gatewayConstants.js'
import { UnexpectedErrorsError } from '../../shared/unexpectedErrorsError.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'

interface GuardedProcess {
  on (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void): unknown
  off (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void): unknown
  exit (status: number): void
}

interface GuardedHost {
  /** Starts the planned stop, after which `waitUntilStopped` of the host rejects with `failure`. */
  drain (failure: UnexpectedErrorsError): void
}

interface GuardOptions {
  readonly process: GuardedProcess
  readonly logger: Logger
  readonly clock: Clock
  /** Time in ms within which a drain ends. */
  readonly getDrainLimitMs: () => number
}

/**
 * Keeps the process alive after an unexpected error in a callback: it concerns one request, and ending the process would
 * fail all others. Errors that keep coming are not of one request: then the host drains, and the process ends after it.
 * It ends at once when there is no host to drain, and when the drain has not ended in time.
 */
export class ErrorGuard {
  private readonly errorTimesMs: number[] = []
  private readonly onError = (error: unknown): void => { this.recordError(error) }
  private host: GuardedHost | undefined
  private isStopping = false
  private drainTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: GuardOptions) {}

  start (): void {
    this.options.process.on('uncaughtException', this.onError)
    this.options.process.on('unhandledRejection', this.onError)
  }

  /** `host` serves from now on. */
  setHost (host: GuardedHost): void {
    this.host = host
  }

  stop (): void {
    clearTimeout(this.drainTimer)
    this.options.process.off('uncaughtException', this.onError)
    this.options.process.off('unhandledRejection', this.onError)
  }

  private recordError (error: unknown): void {
    const { message, stack } = error instanceof Error ? error : { message: String(error), stack: undefined }
    const isFatal = !this.isStopping && this.isOverLimit()
    const outcome = isFatal || this.isStopping ? this.describeStop() : 'the process goes on'
    this.options.logger.recordError('unexpected error', { reason: message, stack, outcome })
    if (isFatal) this.stopProcess()
  }

  private isOverLimit (): boolean {
    const nowMs = this.options.clock.readMonotonicMs()
    this.errorTimesMs.push(nowMs)
    while (this.errorTimesMs[0]! < nowMs - gatewayConstants.unexpectedErrorWindowMs) this.errorTimesMs.shift()
    return this.errorTimesMs.length > gatewayConstants.maxUnexpectedErrors
  }

  private describeStop (): string {
    const status = gatewayConstants.unexpectedErrorStatus
    return this.host === undefined ? `the process ends with status ${status}` : `the host drains and ends with status ${status}`
  }

  private stopProcess (): void {
    const { process, getDrainLimitMs } = this.options
    const { maxUnexpectedErrors, unexpectedErrorWindowMs, unexpectedErrorStatus } = gatewayConstants
    this.isStopping = true
    if (this.host === undefined) return process.exit(unexpectedErrorStatus)
    this.drainTimer = setTimeout(() => { process.exit(unexpectedErrorStatus) }, getDrainLimitMs())
    this.host.drain(new UnexpectedErrorsError(`more than ${maxUnexpectedErrors} unexpected errors in ${unexpectedErrorWindowMs} ms`))
  }
}

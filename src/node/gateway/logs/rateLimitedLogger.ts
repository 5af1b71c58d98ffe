import { logConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { LogFields } from '../../../types/logFields.js'
import type { Logger } from '../../../types/logger.js'

interface LineWindow {
  startMs: number
  written: number
  suppressed: number
}

/**
 * Limits the lines of each message per second and logs how many were suppressed. The limit applies to each message
 * separately, so that frequent lines do not suppress the warnings and errors that explain failed requests.
 */
export class RateLimitedLogger implements Logger {
  private readonly windows: Map<string, LineWindow>

  constructor (private readonly logger: Logger, private readonly clock: Clock, windows = new Map<string, LineWindow>()) {
    this.windows = windows
  }

  createChild (fields: LogFields): Logger {
    return new RateLimitedLogger(this.logger.createChild(fields), this.clock, this.windows)
  }

  recordDebug (message: string, fields?: LogFields): void {
    if (this.admitLine(message)) this.logger.recordDebug(message, fields)
  }

  recordInfo (message: string, fields?: LogFields): void {
    if (this.admitLine(message)) this.logger.recordInfo(message, fields)
  }

  recordWarning (message: string, fields?: LogFields): void {
    if (this.admitLine(message)) this.logger.recordWarning(message, fields)
  }

  recordError (message: string, fields?: LogFields): void {
    if (this.admitLine(message)) this.logger.recordError(message, fields)
  }

  private admitLine (message: string): boolean {
    const nowMs = this.clock.readMonotonicMs()
    const window = this.windows.get(message) ?? { startMs: nowMs, written: 0, suppressed: 0 }
    this.windows.set(message, window)
    if (nowMs - window.startMs >= logConstants.windowMs) {
      if (window.suppressed > 0) this.logger.recordWarning('log lines left out', { of: message, count: window.suppressed })
      Object.assign(window, { startMs: nowMs, written: 0, suppressed: 0 })
    }
    if (window.written >= logConstants.maxLinesPerSecond) {
      window.suppressed++
      return false
    }
    window.written++
    return true
  }
}

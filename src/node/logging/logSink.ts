import { formatLogLine } from './formatLogLine.js'
import { loggingConstants } from './constants.js'
import type { LogFields } from '../../types/logFields.js'
import type { LogLevel } from '../../types/logLevel.js'

/** Output of a logger and its children: filters lines by level, formats them and writes them. */
export class LogSink {
  private readonly threshold: number

  constructor (level: LogLevel, private readonly secrets: readonly string[], private readonly write: (line: string) => void) {
    this.threshold = loggingConstants.levels[level]
  }

  isWritten (level: LogLevel): boolean {
    return loggingConstants.levels[level] >= this.threshold
  }

  /** Writes one line; `timeMs` is milliseconds since the epoch. */
  writeLine (level: LogLevel, message: string, fields: LogFields, timeMs: number): void {
    const { host, failureDomain, requestId, traceId, ...rest } = fields
    const time = new Date(timeMs).toISOString()
    this.write(formatLogLine({ level, time, host, failureDomain, requestId, traceId, message, ...rest }, this.secrets))
  }
}

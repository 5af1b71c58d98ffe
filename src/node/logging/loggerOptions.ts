import type { LogLevel } from '../../types/logLevel.js'

/** Options of `createLogger`. */
export interface LoggerOptions {
  /** @default 'info' */
  readonly level?: LogLevel
  /** Id of this host, written on each line as `host`. */
  readonly host?: string
  /** Failure domain of this host, written on each line as `failureDomain`. */
  readonly failureDomain?: string
  /** Values that are replaced by `[redacted]` wherever they appear in a line. */
  readonly secrets?: readonly string[]
  /**
   * Writes one line, which is passed without its line feed.
   * @default standard error
   */
  readonly write?: (line: string) => void
}

import type { LogLevel } from '../../types/logLevel.js'

/** Options of `createLogger`. */
export interface LoggerOptions {
  /** @default 'info' */
  readonly level?: LogLevel
  /** Id of this host; on each line as `host`. */
  readonly host?: string
  /** On each line as `failureDomain`. */
  readonly failureDomain?: string
  /** Values that are replaced by `[redacted]` wherever they would appear in a line. */
  readonly secrets?: readonly string[]
  /**
   * Takes one line without its line feed.
   * @default standard error
   */
  readonly write?: (line: string) => void
}

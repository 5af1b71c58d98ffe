import type { LogFields } from './logFields.js'

/** Writes structured log lines. */
export interface Logger {
  /** Creates a logger that adds `fields` to each line. */
  createChild (fields: LogFields): Logger
  recordDebug (message: string, fields?: LogFields): void
  recordInfo (message: string, fields?: LogFields): void
  recordWarning (message: string, fields?: LogFields): void
  recordError (message: string, fields?: LogFields): void
}

import type { LogFields } from './logFields.js'

/** JSON lines on standard error. */
export interface Logger {
  /** A logger that adds `fields` to each line. */
  createChild (fields: LogFields): Logger
  recordDebug (message: string, fields?: LogFields): void
  recordInfo (message: string, fields?: LogFields): void
  recordWarning (message: string, fields?: LogFields): void
  recordError (message: string, fields?: LogFields): void
}

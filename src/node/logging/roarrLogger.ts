import './enableRoarr.js'
import { Roarr, ROARR } from 'roarr'
import type { LogFields } from '../../types/logFields.js'
import type { Logger } from '../../types/logger.js'
import type { LogLevel } from '../../types/logLevel.js'
import type { LogSink } from './logSink.js'

interface RoarrContext {
  readonly sink?: LogSink
  readonly level: LogLevel
  readonly fields: LogFields
}

// Roarr has one serializer and one writer per process. Each message carries the sink of its logger, so that
// one process can have several loggers; messages of other users of roarr are not written.
ROARR.serializeMessage = message => {
  const { sink, level, fields } = message.context as unknown as RoarrContext
  sink?.writeLine(level, message.message, fields, message.time)
  return ''
}
ROARR.write = () => {}

/** Logger on top of roarr. A line below the level costs one comparison and is never serialized. */
export class RoarrLogger implements Logger {
  constructor (private readonly sink: LogSink, private readonly fields: LogFields) {}

  createChild (fields: LogFields): Logger {
    return new RoarrLogger(this.sink, { ...this.fields, ...fields })
  }

  recordDebug (message: string, fields?: LogFields): void {
    this.record('debug', message, fields)
  }

  recordInfo (message: string, fields?: LogFields): void {
    this.record('info', message, fields)
  }

  recordWarning (message: string, fields?: LogFields): void {
    this.record('warning', message, fields)
  }

  recordError (message: string, fields?: LogFields): void {
    this.record('error', message, fields)
  }

  private record (level: LogLevel, message: string, fields?: LogFields): void {
    if (!this.sink.isWritten(level)) return
    const context: RoarrContext = { sink: this.sink, level, fields: { ...this.fields, ...fields } }
    // The format `%s` prevents percent signs in the message from being read as directives.
    Roarr(context as never, '%s', message)
  }
}

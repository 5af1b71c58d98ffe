import { createStandardErrorWriter } from './createStandardErrorWriter.js'
import { LogSink } from './logSink.js'
import { RoarrLogger } from './roarrLogger.js'
import type { Logger } from '../../types/logger.js'
import type { LoggerOptions } from './loggerOptions.js'

/** Creates the logger of a process: JSON lines with level, time, host, failure domain and message. */
export function createLogger (options: LoggerOptions = {}): Logger {
  // The longest secret comes first, so that a secret that contains another one is replaced completely.
  const secrets = (options.secrets ?? []).filter(secret => secret !== '').sort((a, b) => b.length - a.length)
  const escaped = secrets.map(secret => JSON.stringify(secret).slice(1, -1))
  const sink = new LogSink(options.level ?? 'info', escaped, options.write ?? createStandardErrorWriter())
  return new RoarrLogger(sink, { host: options.host, failureDomain: options.failureDomain })
}

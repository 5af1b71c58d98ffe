import type { Logger } from '../../src/types/logger.js'

/** Creates a logger for tests that writes nothing. */
export function createSilentLogger (): Logger {
  const logger: Logger = {
    createChild: () => logger,
    recordDebug: () => {},
    recordInfo: () => {},
    recordWarning: () => {},
    recordError: () => {}
  }
  return logger
}

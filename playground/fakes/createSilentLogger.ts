import type { Logger } from '../../src/types/logger.js'

/** A logger for tests that drops its lines. */
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

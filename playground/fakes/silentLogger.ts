import type { Logger } from '../../src/types/logger.js'

/** Logger for tests that writes nothing. */
export const silentLogger: Logger = {
  createChild: () => silentLogger,
  recordDebug: () => {},
  recordInfo: () => {},
  recordWarning: () => {},
  recordError: () => {}
}

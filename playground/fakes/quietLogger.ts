import type { Logger } from '../../src/types/logger.js'

/** Logger for tests that writes nothing. */
export const quietLogger: Logger = {
  createChild: () => quietLogger,
  recordDebug: () => {},
  recordInfo: () => {},
  recordWarning: () => {},
  recordError: () => {}
}

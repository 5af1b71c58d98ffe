import { parseTimeout } from './parseTimeout.js'
import type { CommandContext } from './commandContext.js'

/** Returns the faults of the flag `--timeout-ms`. */
export function validateTimeout (context: CommandContext): readonly string[] {
  const value = context.flags['timeout-ms']
  return parseTimeout(value, 0) === undefined ? [`--timeout-ms is "${value}"; it must be a whole number of milliseconds`] : []
}

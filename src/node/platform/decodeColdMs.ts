import { platformConstants } from './constants.js'

/** Decodes the time for which an upstream is still cold; undefined when it states none. */
export function decodeColdMs (value: unknown): number | 'unreadable' | undefined {
  if (value === undefined) return undefined
  const isReadable = typeof value === 'number' && value >= 0 && value <= platformConstants.maxColdMs
  return isReadable ? value : 'unreadable'
}

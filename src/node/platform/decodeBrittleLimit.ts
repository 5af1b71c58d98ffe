import { platformConstants } from './constants.js'

/** Decodes how many rejections a second a brittle upstream bears; undefined when it does not state to be brittle. */
export function decodeBrittleLimit (value: string | undefined): number | 'unreadable' | undefined {
  if (value === undefined) return undefined
  const text = value.trim()
  const limit = /^\d+(\.\d+)?$/.test(text) ? Number(text) : 0
  return limit > 0 && limit <= platformConstants.maxBrittleLimit ? limit : 'unreadable'
}

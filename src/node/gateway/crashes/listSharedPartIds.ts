import { crashConstants } from './constants.js'
import type { PromptPart } from '../model/promptPart.js'

/** Ids of the parts that other requests may share: all but the last one, which belongs to the request. */
export function listSharedPartIds (parts: readonly PromptPart[]): readonly string[] {
  const ids = parts.slice(0, -1).map(part => part.id)
  return [...new Set(ids)].filter(id => id !== '' && id.length <= crashConstants.maxPartIdLength)
}

import type { PromptPart } from '../model/promptPart.js'

/**
 * Id of the longest part at the start of a prompt that other requests share: the last part belongs to the request, so
 * it is the one before it. Undefined for a prompt without parts.
 */
export function findSharedPartId (parts: readonly PromptPart[]): string | undefined {
  return (parts.at(-2) ?? parts.at(-1))?.id
}

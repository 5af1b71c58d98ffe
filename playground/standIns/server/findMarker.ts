import { hashText } from '../../../src/shared/hashText.js'

/** The name in the first `marker:<name>` of a text; a digest of the text if there is none. */
export function findMarker (text: string): string {
  return /marker:([\w-]+)/.exec(text)?.[1] ?? hashText(text).toString(16).padStart(8, '0')
}

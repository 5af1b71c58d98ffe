import { hashText } from '../../shared/hashText.js'
import { requestConstants } from './constants.js'

/** Digest of the prompt prefix under which engines publish cache events: 8 hex digits. */
export function hashPromptPrefix (prompt: string): string {
  return hashText(prompt.slice(0, requestConstants.promptPrefixLength)).toString(16).padStart(8, '0')
}

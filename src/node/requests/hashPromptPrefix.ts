import { hashText } from '../../shared/hashText.js'
import { requestConstants } from './constants.js'

/** Hashes the prompt prefix to 8 hex digits, as engines do in cache events. */
export function hashPromptPrefix (prompt: string): string {
  return hashText(prompt.slice(0, requestConstants.promptPrefixLength)).toString(16).padStart(8, '0')
}

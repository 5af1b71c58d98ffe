import type { EnginePrompt } from '../engines/enginePrompt.js'

/** Counts the tokens that an engine reads when all parts that other requests share are in its cache. */
export function countLeastTokens ({ tokens, parts }: EnginePrompt): number {
  return parts.slice(0, -1).reduce((left, part) => left - part.tokens, tokens)
}

import type { PromptPart } from '../model/promptPart.js'

/** What matters of a prompt for the choice of an engine. */
export interface EnginePrompt {
  readonly tokens: number
  /** Parts in order; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[]
}

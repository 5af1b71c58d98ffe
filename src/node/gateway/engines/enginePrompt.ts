import type { PromptPart } from '../model/promptPart.js'

/** The properties of a prompt that the choice of an engine depends on. */
export interface EnginePrompt {
  readonly tokens: number
  /** Parts in order; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[]
}

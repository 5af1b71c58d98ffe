/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

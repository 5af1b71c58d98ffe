/** A generation asked of a model engine. */
export interface EngineCall {
  readonly streamId: string
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  readonly priority: number
  /** Set when the stream exists already: the offset of the first token that is wanted. */
  readonly resumeOffset?: number
}

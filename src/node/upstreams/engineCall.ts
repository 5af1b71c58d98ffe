/** Parameters of a generation on a model engine. */
export interface EngineCall {
  readonly streamId: string
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  readonly priority: number
  /** Offset of the first token to read from an existing stream; undefined to start a new stream. */
  readonly resumeOffset?: number
}

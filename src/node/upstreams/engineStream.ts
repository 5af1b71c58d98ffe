/** A running generation on a model engine. */
export interface EngineStream {
  /** Cancels the generation on the engine and closes the connection. */
  cancel (): void
  /** Closes the connection without cancelling the generation, so that another host can resume the stream. */
  close (): void
}

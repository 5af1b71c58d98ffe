/** A running generation at a model engine. */
export interface EngineStream {
  /** Cancels the generation at the engine and closes the connection. */
  cancel (): void
  /** Closes the connection; the engine goes on, so that another host can resume the stream. */
  close (): void
}

/** An entry host that `serve` has started. */
export interface RunningHost {
  /** Starts the planned stop; a second call has no effect. Does not wait for its end. */
  drain (): void
  /** Resolves when the host has stopped after a drain; rejects when it failed. */
  waitUntilStopped (): Promise<void>
}

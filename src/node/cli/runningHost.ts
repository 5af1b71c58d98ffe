/** A host that `serve` or `gateway` has started. */
export interface RunningHost {
  /** Starts the planned stop without waiting for its end; a second call has no effect. */
  drain (): void
  /** Resolves when the host has stopped after a drain; rejects when it failed. */
  waitUntilStopped (): Promise<void>
}

/** An attempt that waits for its answer. */
export interface PendingAttempt {
  readonly upstreamId: string
  readonly onResponse: (output: unknown) => void
}

/** An attempt that waits for its answer. */
export interface PendingAttempt {
  readonly upstreamId: string
  readonly onAnswer: (output: unknown) => void
}

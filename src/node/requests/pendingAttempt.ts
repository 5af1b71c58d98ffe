/** An attempt that waits for its response. */
export interface PendingAttempt {
  readonly upstreamId: string
  readonly onResponse: (output: unknown) => void
}

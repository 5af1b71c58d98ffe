/** An answer of which this process holds bytes that were not passed on yet. */
export interface HeldAnswer {
  readonly upstreamId: string
  /** Bytes that are held now. */
  countBytes (): number
  /** Ends the answer, because the host has no more memory for answers. */
  onEvicted (): void
}

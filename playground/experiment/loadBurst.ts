/** Multiplies the rate of one kind of request, or of all. */
export interface LoadBurst {
  readonly atMs: number
  readonly forMs: number
  readonly factor: number
  readonly kind?: string
}

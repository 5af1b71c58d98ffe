/** An interval in which the rate of one kind of request, or of all kinds, is multiplied by `factor`. */
export interface LoadBurst {
  readonly atMs: number
  readonly forMs: number
  readonly factor: number
  readonly kind?: string
}

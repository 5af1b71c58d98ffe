/** Why a request is answered with an error before it runs. */
export interface IngressRefusal {
  readonly status: number
  readonly code: string
  readonly reason: string
  readonly retryAfterMs?: number
}

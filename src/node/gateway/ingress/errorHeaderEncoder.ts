/** Headers of an answer that this system makes itself, names and values in turn. `retryAfterMs` tells when to come back. */
export type ErrorHeaderEncoder = (requestId: string | undefined, retryAfterMs: number | undefined) => string[]

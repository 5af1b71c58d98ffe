/**
 * Encodes the headers of an error response of the gateway as alternating names and values. `retryAfterMs` tells the
 * client when to retry.
 */
export type ErrorHeaderEncoder = (requestId: string | undefined, retryAfterMs: number | undefined) => string[]

/** Header names of requests and responses, in lower case as Node.js delivers them. */
export const headerNames = {
  requestId: 'x-request-id',
  /** Milliseconds for which the client still waits. */
  timeLeft: 'x-time-remaining',
  promptParts: 'x-prompt-prefix',
  lastEventId: 'last-event-id',
  /** Id of the client attempt that brought the first event of the stream that this request takes up. */
  resumedId: 'resumes',
  signature: 'x-response-signature',
  account: 'x-tenant',
  expectedInstance: 'x-expected-instance',
  load: 'x-server-load',
  /** Requests a second that the upstream takes from all hosts together. */
  limit: 'server-limit',
  /** In all answers of an upstream that will stop, with the value 1. */
  leaving: 'server-leaving',
  /** Milliseconds for which the upstream is still cold. */
  cold: 'x-cold-milliseconds',
  /** Rejections a second that a brittle upstream bears, in all its answers while it is brittle. */
  brittle: 'server-brittle',
  notRun: 'x-not-executed',
  retryAfter: 'retry-after',
  instance: 'x-instance-id',
  /** Number of prompt tokens and maximum number of output tokens. */
  tokenCounts: 'x-token-counts',
  priority: 'x-request-priority',
  pieceCounts: 'x-pieces',
  pieceKey: 'x-piece-key',
  inputs: 'x-inputs',
  /** In all answers of the store: rises each time it comes back from an older copy. */
  storeEra: 'store-era',
  authorization: 'authorization'
} as const

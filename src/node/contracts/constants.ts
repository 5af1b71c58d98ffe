/** Bounds of contracts and times of their propagation. */
export const contractConstants = {
  maxTokenDigests: 16,
  maxRequestsPerSecond: 1_000_000,
  maxTokensPerSecond: 1_000_000_000,
  maxKinds: 64,
  maxStages: 16,
  maxTokens: 1_000_000,
  maxDeadlineMs: 600_000,
  /** The key-value service stores values up to 1 MB; a contract leaves room for its history entry. */
  maxContractBytes: 256 * 1024,
  buckets: 64
} as const

/** The end of an upstream, as seen by a host whose requests were about to be answered there. */
export interface UpstreamCrash {
  /** Distinguishes the instances of an upstream that starts again under its id. */
  readonly instance: string
  /** Parts of the prompts of these requests that may have caused the end. */
  readonly partIds: readonly string[]
  /** Digest of the request that was about to be answered. */
  readonly requestHash?: string
  /**
   * Rounds of ends under each of these parts, and under the request, that the reporting host knew of, this one
   * included: ends with a common cause are one round. Absent in reports of earlier versions.
   */
  readonly partRounds?: readonly number[]
  readonly requestRounds?: number
}

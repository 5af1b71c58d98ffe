/** The end of an upstream, as seen by a host whose requests were about to be answered there. */
export interface UpstreamCrash {
  /** Distinguishes the instances of an upstream that starts again under its id. */
  readonly instance: string
  /** Parts of the prompts of these requests that may have caused the end. */
  readonly partIds: readonly string[]
  /** Digest of the request that was about to be answered. */
  readonly requestHash?: string
}

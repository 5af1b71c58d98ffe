/** The software version at which a stream of a service began, or was about to. */
export interface StreamRecord {
  readonly service: string
  /** Digest of the id of the request that began the stream. */
  readonly streamHash: string
  readonly version: string
}

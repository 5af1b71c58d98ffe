/** One variant of the relay benchmark. */
export interface RelayVariant {
  readonly path: 'direct' | 'relayed'
  /** `paced`: 41 ms between tokens; `fast`: as fast as possible. */
  readonly pace: 'paced' | 'fast'
  readonly streams: number
}

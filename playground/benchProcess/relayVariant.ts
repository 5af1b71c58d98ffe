/** One variant of the relay benchmark. */
export interface RelayVariant {
  readonly path: 'direct' | 'relayed'
  /** `paced`: 41 ms between tokens; `fast`: more tokens than the host can relay. */
  readonly pace: 'paced' | 'fast'
  readonly streams: number
}

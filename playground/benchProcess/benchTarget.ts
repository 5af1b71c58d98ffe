/** Where a benchmark client sends its work: to the entry host, or straight to the stand-in as baseline. */
export interface BenchTarget {
  readonly path: 'direct' | 'relayed'
  /** `ip:port`. */
  readonly address: string
  readonly token: string
}

/** A prompt prefix that an engine stored in its cache or evicted from it. */
export interface CacheEvent {
  /** Sequence number at the engine; a gap means that events were lost. */
  readonly seq: number
  readonly type: 'stored' | 'evicted'
  readonly prefixHash: string
}

/** A prompt prefix that an engine stored in its cache or evicted from it. */
export interface CacheEvent {
  readonly seq: number
  readonly type: 'stored' | 'evicted'
  readonly prefixHash: string
}

interface Holder {
  /** Bytes of all heads that the connection holds. */
  readonly bytes: number
  /** Bytes of those that can be refused: whole requests that wait behind others. */
  readonly evictableBytes: number
}

/**
 * Chooses the connection whose waiting requests give way to a request of another connection when the memory for heads is
 * used up: the one that holds the most, if that is more than the asking connection would hold. Answers the load of clients
 * that send many long requests ahead on each of their connections, among clients of the same account with one request each.
 */
export function chooseEvictedHolder<Key> (holders: ReadonlyMap<Key, Holder>, askingBytes: number): Key | undefined {
  let chosen: Key | undefined
  let mostBytes = askingBytes
  for (const [key, { bytes, evictableBytes }] of holders) {
    if (evictableBytes === 0 || bytes <= mostBytes) continue
    chosen = key
    mostBytes = bytes
  }
  return chosen
}

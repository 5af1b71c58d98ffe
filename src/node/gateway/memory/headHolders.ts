import { chooseEvictedHolder } from './chooseEvictedHolder.js'

interface Holder {
  bytes: number
  evictableBytes: number
  readonly evictions: Set<() => void>
}

/** The connections that hold heads of one group, and the waiting requests of each that can be refused. */
export class HeadHolders {
  private readonly holders = new Map<object, Holder>()
  /** Only connections with waiting requests are candidates, so that a search passes over all others. */
  private readonly evictable = new Map<object, Holder>()

  get isEmpty (): boolean {
    return this.holders.size === 0
  }

  countBytes (connection: object): number {
    return this.holders.get(connection)?.bytes ?? 0
  }

  add (connection: object, bytes: number): void {
    const holder = this.holders.get(connection) ?? { bytes: 0, evictableBytes: 0, evictions: new Set() }
    this.holders.set(connection, holder)
    holder.bytes += bytes
  }

  remove (connection: object, bytes: number): void {
    const holder = this.holders.get(connection)
    if (holder === undefined) return
    holder.bytes -= bytes
    if (holder.bytes <= 0) this.holders.delete(connection)
  }

  /** Lets the request be refused until the returned function is called. */
  addEvictable (connection: object, bytes: number, evict: () => void): () => void {
    const holder = this.holders.get(connection)
    if (holder === undefined) return () => {}
    holder.evictableBytes += bytes
    holder.evictions.add(evict)
    this.evictable.set(connection, holder)
    return () => {
      if (!holder.evictions.delete(evict)) return
      holder.evictableBytes -= bytes
      if (holder.evictions.size === 0) this.evictable.delete(connection)
    }
  }

  /** Refuses the waiting requests of the connection that holds the most; returns how many they are. */
  evictMost (askingConnection: object, askingBytes: number): number {
    const chosen = chooseEvictedHolder(this.evictable, this.countBytes(askingConnection) + askingBytes)
    const evictions = [...this.evictable.get(chosen as object)?.evictions ?? []]
    for (const evict of evictions) evict()
    return evictions.length
  }
}

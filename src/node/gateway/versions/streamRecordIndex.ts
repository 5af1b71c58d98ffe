import { baseVersionCodec } from './baseVersionCodec.js'
import { streamRecordCodec } from './streamRecordCodec.js'
import type { StoreItem } from '../model/storeItem.js'

interface IndexedItem {
  readonly revision: number
  /** Versions by service and digest; empty for the base version of a service. */
  readonly versions: ReadonlyMap<string, string>
  readonly baseVersion?: string
}

/** The stream records and base versions that the store holds, as far as they are read. */
export class StreamRecordIndex {
  private readonly items = new Map<string, IndexedItem>()

  constructor (private readonly prefixes: { readonly base: string, readonly records: string }) {}

  /**
   * Version at which a stream is recorded. All records of a stream are of one host, and the one in its last item counts:
   * the keys of a host rise, while an earlier item may be written late, with a higher revision.
   */
  findVersion (service: string, streamHash: string): string | undefined {
    const streamKey = buildStreamKey(service, streamHash)
    let lastKey = ''
    for (const [key, { versions }] of this.items) {
      if (key > lastKey && versions.has(streamKey)) lastKey = key
    }
    return this.items.get(lastKey)?.versions.get(streamKey)
  }

  /** Version at which streams of a service began that are not recorded; undefined when the store names none. */
  findBase (service: string): { readonly version: string, readonly revision: number } | undefined {
    const item = this.items.get(this.prefixes.base + service)
    return item?.baseVersion === undefined ? undefined : { version: item.baseVersion, revision: item.revision }
  }

  /** Number of streams with a record. */
  countStreams (): number {
    let count = 0
    for (const { versions } of this.items.values()) count += versions.size
    return count
  }

  listServicesWithBase (): readonly string[] {
    const { base } = this.prefixes
    return [...this.items.keys()].filter(key => key.startsWith(base)).map(key => key.slice(base.length))
  }

  /** Adds an item unless a newer revision of it is known. Returns false when its value is not readable. */
  applyItem ({ key, value, revision }: StoreItem): boolean {
    const known = this.items.get(key)
    if (known !== undefined && known.revision >= revision) return true
    if (key.startsWith(this.prefixes.base)) {
      const decoded = baseVersionCodec.decode(value)
      this.items.set(key, { revision, versions: new Map(), baseVersion: decoded?.version })
      return decoded !== undefined
    }
    const records = streamRecordCodec.decode(value)
    const entries = (records ?? []).map(record => [buildStreamKey(record.service, record.streamHash), record.version] as const)
    this.items.set(key, { revision, versions: new Map(entries) })
    return records !== undefined
  }

  /** Removes the items that a read at `revision` did not find. */
  removeOthers (found: ReadonlySet<string>, revision: number): void {
    for (const [key, item] of this.items) {
      if (!found.has(key) && item.revision <= revision) this.items.delete(key)
    }
  }

  removeItem (key: string): void {
    this.items.delete(key)
  }

  /** Forgets everything, because the revisions of a restored store are lower. */
  removeAll (): void {
    this.items.clear()
  }
}

function buildStreamKey (service: string, streamHash: string): string {
  return `${streamHash} ${service}`
}

import { baseVersionCodec } from './baseVersionCodec.js'
import { streamRecordCodec } from './streamRecordCodec.js'
import type { LostItem } from './lostItem.js'
import type { StoreItem } from '../model/storeItem.js'
import type { StreamRecord } from './streamRecord.js'

interface IndexedItem {
  readonly revision: number
  /** Versions by digest, by service; empty for the base version of a service. */
  readonly versions: ReadonlyMap<string, ReadonlyMap<string, string>>
  readonly baseVersion?: string
}

interface IndexPrefixes {
  readonly base: string
  readonly completeEras: string
}

/**
 * The stream records and base versions that the store holds, as far as they are read. The version at which a stream
 * began does not change, so what was known before a restore of the store stays known after it; only the revisions are
 * invalid.
 */
export class StreamRecordIndex {
  private readonly items = new Map<string, IndexedItem>()
  /** What the store held before its last restore, for as long as streams of that time can be resumed. */
  private readonly earlierItems = new Map<string, IndexedItem>()
  /** The newest era all of whose streams have their records in the store; undefined when the store names none. */
  private newestCompleteEra: number | undefined

  constructor (private readonly prefixes: IndexPrefixes) {}

  /**
   * Version at which a stream is recorded. All records of a stream are of one host, and the one in its last item counts:
   * the keys of a host rise, while an earlier item may be written late, with a higher revision.
   */
  findVersion (service: string, streamHash: string): string | undefined {
    let lastKey = ''
    let version: string | undefined
    // The copy that the store came back from may hold an older state of an item than the one that was read before.
    for (const items of [this.earlierItems, this.items]) {
      for (const [key, { versions }] of items) {
        const recorded = key > lastKey ? versions.get(service)?.get(streamHash) : undefined
        if (recorded === undefined) continue
        lastKey = key
        version = recorded
      }
    }
    return version
  }

  /**
   * Version at which streams of a service began that are not recorded; undefined when none is known. `revision` is 0
   * when the restored store does not hold it.
   */
  findBase (service: string): { readonly version: string, readonly revision: number } | undefined {
    const key = this.prefixes.base + service
    const item = this.items.get(key)
    if (item?.baseVersion !== undefined) return { version: item.baseVersion, revision: item.revision }
    const version = this.earlierItems.get(key)?.baseVersion
    return version === undefined ? undefined : { version, revision: 0 }
  }

  findCompleteEra (): number | undefined {
    return this.newestCompleteEra
  }

  /** Whether streams of a service are recorded at another version than the given one. */
  hasOtherVersion (service: string, version: string | undefined): boolean {
    for (const items of [this.items, this.earlierItems]) {
      for (const { versions } of items.values()) {
        for (const recorded of versions.get(service)?.values() ?? []) {
          if (recorded !== version) return true
        }
      }
    }
    return false
  }

  /** Number of streams with a record. */
  countStreams (): number {
    let count = 0
    for (const { versions } of this.items.values()) {
      for (const hashes of versions.values()) count += hashes.size
    }
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
    const { base, completeEras } = this.prefixes
    if (key.startsWith(completeEras)) {
      const era = Number(key.slice(completeEras.length))
      if (!Number.isSafeInteger(era)) return false
      this.newestCompleteEra = Math.max(era, this.newestCompleteEra ?? 0)
      return true
    }
    if (key.startsWith(base)) {
      const decoded = baseVersionCodec.decode(value)
      this.items.set(key, { revision, versions: new Map(), baseVersion: decoded?.version })
      return decoded !== undefined
    }
    const records = streamRecordCodec.decode(value)
    this.items.set(key, { revision, versions: buildVersions(records ?? []) })
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

  /** Takes all that is known for the state before a restore, whose revisions say nothing about those to come. */
  applyRestore (): void {
    for (const [key, item] of this.items) this.earlierItems.set(key, mergeItems(this.earlierItems.get(key), item))
    this.items.clear()
    this.newestCompleteEra = undefined
  }

  /** Forgets the state before the last restore, once no stream of that time can be resumed any more. */
  removeEarlier (): void {
    this.earlierItems.clear()
  }

  /**
   * Lists the items from before a restore of which the restored store lacks something that no other item holds.
   * `isChosen` tells for which keys to look.
   */
  listLost (isChosen: (key: string) => boolean): readonly LostItem[] {
    const lost: LostItem[] = []
    const presentKeys = this.listStreamKeys()
    for (const [key, earlier] of this.earlierItems) {
      if (!isChosen(key)) continue
      const present = this.items.get(key)
      const revision = present?.revision ?? 0
      if (earlier.baseVersion !== undefined) {
        const value = baseVersionCodec.encode({ version: earlier.baseVersion })
        if (present === undefined) lost.push({ key, revision, value, streams: 0 })
        continue
      }
      const records = listRecords(earlier.versions)
      if (records.every(record => presentKeys.has(buildStreamKey(record)))) continue
      const { versions } = mergeItems(earlier, present)
      lost.push({ key, revision, value: streamRecordCodec.encode(listRecords(versions)), streams: records.length })
    }
    return lost
  }

  private listStreamKeys (): ReadonlySet<string> {
    const keys = new Set<string>()
    for (const { versions } of this.items.values()) {
      for (const record of listRecords(versions)) keys.add(buildStreamKey(record))
    }
    return keys
  }
}

function buildStreamKey ({ service, streamHash }: StreamRecord): string {
  return `${streamHash} ${service}`
}

/**
 * Merges two states of an item. Records are only added to an item, so a state that was read before a restore holds at
 * least those of the copy; a base version is replaced, so the later one counts.
 */
function mergeItems (earlier: IndexedItem | undefined, later: IndexedItem | undefined): IndexedItem {
  const { revision, baseVersion } = later ?? earlier ?? { revision: 0 }
  const records = [later, earlier].flatMap(item => item === undefined ? [] : listRecords(item.versions))
  return { revision, versions: buildVersions(records), baseVersion: baseVersion ?? earlier?.baseVersion }
}

function buildVersions (records: readonly StreamRecord[]): ReadonlyMap<string, ReadonlyMap<string, string>> {
  const versions = new Map<string, Map<string, string>>()
  for (const { service, streamHash, version } of records) {
    const hashes = versions.get(service) ?? new Map<string, string>()
    hashes.set(streamHash, version)
    versions.set(service, hashes)
  }
  return versions
}

function listRecords (versions: IndexedItem['versions']): readonly StreamRecord[] {
  return [...versions].flatMap(([service, hashes]) => {
    return [...hashes].map(([streamHash, version]) => ({ service, streamHash, version }))
  })
}

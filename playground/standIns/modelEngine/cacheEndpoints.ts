import { z } from 'zod'
import type { FaultState } from '../server/faultState.js'
import type { StandInCall } from '../server/standInCall.js'
import type { PrefixCache } from './prefixCache.js'

const exportBody = z.object({ prefixHash: z.string() })
const importBody = z.object({ prefixHash: z.string(), version: z.string(), data: z.string() })

/** Endpoints of the prefix cache: events, and export and import of cached prefixes. */
export class CacheEndpoints {
  private readonly isDroppedBySeq = new Map<number, boolean>()

  constructor (private readonly cache: PrefixCache, private readonly delayMs: number, private readonly faults: FaultState) {}

  /** Sends the events after a sequence number, delayed by `delayMs` and without those that the fault `dropCacheEvents` drops. */
  sendEvents (call: StandInCall): Promise<void> {
    const allEvents = this.cache.listEvents(call.parseNumber('after', 0), performance.now() - this.delayMs)
    const events = allEvents.filter(event => !this.isDropped(event.seq)).map(({ seq, type, prefixHash }) => ({ seq, type, prefixHash }))
    return call.sendJson(200, { events, latest: allEvents.at(-1)?.seq ?? call.parseNumber('after', 0) })
  }

  /** Sends the cached prefix of a hash; 404 if it is not in the cache. */
  sendExport (call: StandInCall): Promise<void> {
    const { prefixHash } = call.parseBody(exportBody)
    const data = this.cache.findPrompt(prefixHash)
    if (data === undefined) return call.sendJson(404, { error: 'prefix is not in the cache' })
    return call.sendJson(200, { prefixHash, version: this.getVersion(), data })
  }

  /** Adds an exported prefix to the cache; 409 if it comes from another model version. */
  receiveImport (call: StandInCall): Promise<void> {
    const { prefixHash, version, data } = call.parseBody(importBody)
    if (version !== this.getVersion()) return call.sendJson(409, { error: `cache of version ${version} does not fit version ${this.getVersion()}` })
    if (this.cache.hashPrefix(data) !== prefixHash) return call.sendJson(400, { error: 'data does not match the prefix hash' })
    this.cache.addPrompt(data, performance.now())
    return call.sendJson(200, { prefixHash })
  }

  private getVersion (): string {
    return this.faults.settings.version ?? '1'
  }

  // A dropped event is dropped for every reader and every later read, as if the engine had never published it.
  private isDropped (seq: number): boolean {
    if (!this.isDroppedBySeq.has(seq)) this.isDroppedBySeq.set(seq, this.faults.isInjected(this.faults.settings.dropCacheEvents))
    return this.isDroppedBySeq.get(seq) ?? false
  }
}

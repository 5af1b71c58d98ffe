import { z } from 'zod'
import { StoreHistoryLostError } from '../../shared/storeHistoryLostError.js'
import { StoreUnavailableError } from '../../shared/storeUnavailableError.js'
import { StoreUncertainError } from '../../shared/storeUncertainError.js'
import { platformConstants } from './constants.js'
import { storeConstants } from '../gateway/store/constants.js'
import type { StoreChange } from '../gateway/model/storeChange.js'
import type { StoreClient } from '../gateway/model/storeClient.js'
import type { StoreItem } from '../gateway/model/storeItem.js'
import type { StoreLease } from '../gateway/model/storeLease.js'
import type { StorePosition } from '../gateway/model/storePosition.js'
import type { StoreWrite } from '../gateway/model/storeWrite.js'
import type { StoreEra } from '../gateway/store/storeEra.js'
import type { StoreHttpClient } from './storeHttpClient.js'
import type { StoreResponse } from './storeResponse.js'

const itemSchema = z.object({ key: z.string(), value: z.string(), revision: z.number() })
const pageSchema = z.object({ items: z.array(itemSchema), truncated: z.boolean(), storeRevision: z.number() })
const eventSchema = z.union([z.object({ key: z.string(), revision: z.number(), deleted: z.literal(true) }), itemSchema])
const watchSchema = z.object({ events: z.array(eventSchema), storeRevision: z.number() })
const leaseSchema = z.object({ lease: z.number() })
const paths = {
  item: '/-/kv-key',
  range: '/-/kv-range',
  watch: '/-/kv-watch',
  write: '/-/kv-txn',
  createLease: '/-/kv-lease',
  renewLease: '/-/kv-keep/',
  endLease: '/-/kv-lease-end/'
} as const

/** Client of the platform's store over HTTP. */
export class PlatformStore implements StoreClient {
  constructor (private readonly client: StoreHttpClient, private readonly storeEra: StoreEra) {}

  async readItem (key: string): Promise<StoreItem | undefined> {
    const { status, body } = await this.sendRead(`${paths.item}?key=${encodeURIComponent(key)}`)
    if (status === 404) return undefined
    checkRead(status)
    return decodeItem(parseBody(itemSchema, body))
  }

  async readPrefix (prefix: string): Promise<{ readonly items: readonly StoreItem[], readonly position: StorePosition }> {
    const items: StoreItem[] = []
    let position: StorePosition | undefined
    let bytes = 0
    for (let after = ''; ;) {
      const query = `${paths.range}?pathPrefix=${encodeURIComponent(prefix)}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`
      const { status, body, era } = await this.sendRead(query)
      checkRead(status)
      const page = parseBody(pageSchema, body)
      // Pages are read at different revisions. A watch from the first one returns what changed in the meantime.
      position ??= { era, revision: page.storeRevision }
      if (era !== position.era) throw new StoreHistoryLostError(`the pages are of eras ${position.era} and ${era}`)
      for (const item of page.items) bytes += item.key.length + item.value.length + platformConstants.itemOverheadBytes
      if (bytes > platformConstants.maxSnapshotBytes) {
        throw new StoreUnavailableError(`the store has more than ${platformConstants.maxSnapshotBytes} bytes of items`)
      }
      items.push(...page.items.map(decodeItem))
      const last = page.items.at(-1)
      if (!page.truncated || last === undefined) return { items, position }
      after = last.key
    }
  }

  async watchPrefix (
    prefix: string,
    after: StorePosition,
    waitMs: number,
    signal: AbortSignal
  ): Promise<{ readonly changes: readonly StoreChange[], readonly position: StorePosition }> {
    const wait = Math.min(Math.floor(waitMs), platformConstants.maxWatchMs)
    const query = `${paths.watch}?pathPrefix=${encodeURIComponent(prefix)}&after=${after.revision}&waitMs=${wait}`
    const { status, body, era } = await this.client.watch(prefix, query, wait + storeConstants.watchGraceMs, signal)
    if (era !== after.era) throw new StoreHistoryLostError(`the watch began in era ${after.era} and ended in era ${era}`)
    if (status === 410) throw new StoreHistoryLostError(`changes after revision ${after.revision} are no longer in the store`)
    checkRead(status)
    const result = parseBody(watchSchema, body)
    return { changes: result.events.map(decodeChange), position: { era, revision: result.storeRevision } }
  }

  async writeConditionally (write: StoreWrite): Promise<boolean> {
    const leases = write.writes.flatMap(({ lease }) => lease ?? [])
    if (leases.some(lease => this.hasEnded(lease))) return false
    const { status } = await this.sendWrite('POST', paths.write, {
      expectedRevision: write.conditions,
      writes: write.writes.map(({ key, value, lease }) => ({ key, value: value.toString('base64'), lease: lease?.id ?? 0 })),
      remove: write.removals
    })
    if (status === 412 || status === 404) return false
    checkWrite(status)
    // The answer may be the first one of a new era, in which the id belongs to another lease or to none.
    return !leases.some(lease => this.hasEnded(lease))
  }

  async createLease (ttlMs: number): Promise<StoreLease> {
    const { status, body, era } = await this.sendWrite('POST', paths.createLease, { ttlMs })
    checkWrite(status)
    return { id: parseBody(leaseSchema, body).lease, era }
  }

  async updateLease (lease: StoreLease): Promise<boolean> {
    if (this.hasEnded(lease)) return false
    const { status } = await this.sendWrite('POST', `${paths.renewLease}${lease.id}`)
    if (status === 404) return false
    checkWrite(status)
    return !this.hasEnded(lease)
  }

  async closeLease (lease: StoreLease): Promise<void> {
    if (this.hasEnded(lease)) return
    const { status } = await this.sendWrite('DELETE', `${paths.endLease}${lease.id}`)
    if (status !== 404) checkWrite(status)
  }

  /** Whether the store was restored since the lease was created. */
  private hasEnded (lease: StoreLease): boolean {
    return lease.era < this.storeEra.getCurrent()
  }

  /** A response may arrive after that of a later call, which the restored store answered. */
  private isOutdated (response: StoreResponse): boolean {
    return response.era < this.storeEra.getCurrent()
  }

  private async sendRead (path: string): Promise<StoreResponse> {
    const response = await this.client.send('GET', path)
    if (this.isOutdated(response)) throw new StoreUnavailableError(`the response is of era ${response.era}, which has ended`)
    return response
  }

  private async sendWrite (method: 'POST' | 'DELETE', path: string, body?: unknown): Promise<StoreResponse> {
    const response = await this.client.send(method, path, body)
    if (this.isOutdated(response)) throw new StoreUncertainError(`the response is of era ${response.era}, which has ended`)
    return response
  }
}

function checkRead (status: number): void {
  if (status !== 200) throw new StoreUnavailableError(`the store returned status ${status}`)
}

/** Statuses 503 and 429 state that nothing was changed. */
function checkWrite (status: number): void {
  if (status === 200) return
  if (status === 503 || status === 429) throw new StoreUnavailableError(`the store returned status ${status}`)
  throw new StoreUncertainError(`the store returned status ${status}`)
}

function parseBody<Body> (schema: z.ZodType<Body>, body: unknown): Body {
  const parsed = schema.safeParse(body)
  if (!parsed.success) throw new StoreUnavailableError('the store returned a response that cannot be decoded', { cause: parsed.error })
  return parsed.data
}

function decodeItem (item: z.infer<typeof itemSchema>): StoreItem {
  return { key: item.key, value: Buffer.from(item.value, 'base64'), revision: item.revision }
}

function decodeChange (event: z.infer<typeof eventSchema>): StoreChange {
  if ('deleted' in event) return { type: 'removed', key: event.key, revision: event.revision }
  return { type: 'written', item: decodeItem(event) }
}

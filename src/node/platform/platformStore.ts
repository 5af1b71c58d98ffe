import { z } from 'zod'
import { StoreHistoryLostError } from '../../shared/storeHistoryLostError.js'
import { StoreUnavailableError } from '../../shared/storeUnavailableError.js'
import { StoreUncertainError } from '../../shared/storeUncertainError.js'
import { platformConstants } from './constants.js'
import { storeConstants } from '../gateway/store/constants.js'
import type { StoreChange } from '../gateway/model/storeChange.js'
import type { StoreClient } from '../gateway/model/storeClient.js'
import type { StoreItem } from '../gateway/model/storeItem.js'
import type { StoreWrite } from '../gateway/model/storeWrite.js'
import type { StoreHttpClient } from './storeHttpClient.js'

const itemSchema = z.object({ key: z.string(), value: z.string(), revision: z.number() })
const pageSchema = z.object({ items: z.array(itemSchema), truncated: z.boolean(), storeRevision: z.number() })
const readSchema = itemSchema.extend({ storeRevision: z.number() })
const missingSchema = z.object({ storeRevision: z.number().default(0) })
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
  constructor (private readonly client: StoreHttpClient) {}

  async readItem (key: string): Promise<{ readonly item?: StoreItem, readonly revision: number }> {
    const { status, body } = await this.client.send('GET', `${paths.item}?key=${encodeURIComponent(key)}`)
    if (status === 404) return { revision: parseBody(missingSchema, body ?? {}).storeRevision }
    checkRead(status)
    const item = parseBody(readSchema, body)
    return { item: decodeItem(item), revision: item.storeRevision }
  }

  async readPrefix (prefix: string): Promise<{ readonly items: readonly StoreItem[], readonly revision: number }> {
    const items: StoreItem[] = []
    let revision: number | undefined
    for (let after = ''; ;) {
      const query = `${paths.range}?pathPrefix=${encodeURIComponent(prefix)}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`
      const { status, body } = await this.client.send('GET', query)
      checkRead(status)
      const page = parseBody(pageSchema, body)
      // Pages are read at different revisions. A watch from the first one returns what changed in the meantime.
      revision ??= page.storeRevision
      items.push(...page.items.map(decodeItem))
      const last = page.items.at(-1)
      if (!page.truncated || last === undefined) return { items, revision }
      after = last.key
    }
  }

  async watchPrefix (
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal
  ): Promise<{ readonly changes: readonly StoreChange[], readonly revision: number }> {
    const wait = Math.min(Math.floor(waitMs), platformConstants.maxWatchMs)
    const query = `${paths.watch}?pathPrefix=${encodeURIComponent(prefix)}&after=${afterRevision}&waitMs=${wait}`
    const { status, body } = await this.client.watch(prefix, query, wait + storeConstants.watchGraceMs, signal)
    if (status === 410) throw new StoreHistoryLostError(`changes after revision ${afterRevision} are no longer in the store`)
    checkRead(status)
    const result = parseBody(watchSchema, body)
    return { changes: result.events.map(decodeChange), revision: result.storeRevision }
  }

  async writeConditionally (write: StoreWrite): Promise<boolean> {
    const { status } = await this.client.send('POST', paths.write, {
      expectedRevision: write.conditions,
      writes: write.writes.map(({ key, value, leaseId }) => ({ key, value: value.toString('base64'), lease: leaseId })),
      remove: write.removals
    })
    if (status === 412 || status === 404) return false
    checkWrite(status)
    return true
  }

  async createLease (ttlMs: number): Promise<number> {
    const { status, body } = await this.client.send('POST', paths.createLease, { ttlMs })
    checkWrite(status)
    return parseBody(leaseSchema, body).lease
  }

  async updateLease (leaseId: number): Promise<boolean> {
    const { status } = await this.client.send('POST', `${paths.renewLease}${leaseId}`)
    if (status === 404) return false
    checkWrite(status)
    return true
  }

  async closeLease (leaseId: number): Promise<void> {
    const { status } = await this.client.send('DELETE', `${paths.endLease}${leaseId}`)
    if (status !== 404) checkWrite(status)
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

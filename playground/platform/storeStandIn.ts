import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { StoreFault } from './storeFault.js'

interface StandInItem {
  readonly key: string
  readonly value: string
  readonly revision: number
  readonly created: number
  readonly lease: number
}

interface StandInCopy {
  readonly items: ReadonlyMap<string, StandInItem>
  readonly leaseIds: readonly number[]
  readonly revision: number
  readonly nextLeaseId: number
}

interface StandInEvent {
  readonly revision: number
  readonly key: string
  readonly body: unknown
}

/** Changes the text of an item's value for the hosts that read the store through a view. */
type ValueTranslator = (key: string, text: string) => string

/** Leases of a copy are not renewed until their owners notice the restore. */
const restoredLeaseMs = 30_000

/** In-memory stand-in for the platform's store, with faults that a test switches on. */
export class StoreStandIn {
  fault: StoreFault = 'none'
  /** Delays an answer that is ready. */
  delayAnswer: (path: string) => Promise<void> = async () => {}
  /** Number of calls by path. */
  readonly callCounts = new Map<string, number>()
  private readonly items = new Map<string, StandInItem>()
  private readonly leases = new Map<number, NodeJS.Timeout>()
  private readonly watchers = new Set<() => void>()
  private events: StandInEvent[] = []
  private oldestRevision = 0
  private revision = 1
  private era = 1
  private nextLeaseId = 1
  private readonly views: Server[] = []
  private readonly server: Server = createServer((request, response) => { this.onRequest(request, response).catch(() => { response.destroy() }) })
  address = ''

  async start (): Promise<this> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    const { port } = this.server.address() as { port: number }
    this.address = `127.0.0.1:${port}`
    return this
  }

  stop (): void {
    for (const timer of this.leases.values()) clearTimeout(timer)
    for (const server of [this.server, ...this.views]) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Writes an item as an operator or an upstream does. */
  write (key: string, value: unknown, lease = 0): void {
    const known = this.items.get(key)
    const text = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value))
    const item = { key, value: text.toString('base64'), revision: ++this.revision, created: known?.created ?? this.revision, lease }
    this.items.set(key, item)
    this.recordEvent({ revision: item.revision, key, body: item })
  }

  remove (key: string): void {
    if (!this.items.delete(key)) return
    const revision = ++this.revision
    this.recordEvent({ revision, key, body: { key, revision, deleted: true } })
  }

  find (key: string): string | undefined {
    const item = this.items.get(key)
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8')
  }

  listKeys (): readonly string[] {
    return [...this.items.keys()]
  }

  /** Discards the change history, so that watches from an older revision are answered 410, and closes all connections. */
  removeHistory (): void {
    this.events = []
    this.oldestRevision = this.revision
    this.server.closeAllConnections()
  }

  /** Copies the store's contents, as a backup does. */
  createCopy (): StandInCopy {
    const { revision, nextLeaseId } = this
    return { items: new Map(this.items), leaseIds: [...this.leases.keys()], revision, nextLeaseId }
  }

  /** Goes back to a copy. Connections and waiting watches live on; revisions and lease ids are given out again. */
  applyCopy (copy: StandInCopy): void {
    this.era++
    for (const timer of this.leases.values()) clearTimeout(timer)
    this.leases.clear()
    for (const id of copy.leaseIds) this.startLease(id, restoredLeaseMs)
    this.items.clear()
    for (const [key, item] of copy.items) this.items.set(key, item)
    this.revision = copy.revision
    this.nextLeaseId = copy.nextLeaseId
    this.events = this.events.filter(event => event.revision <= copy.revision)
  }

  closeConnections (): void {
    this.server.closeAllConnections()
  }

  /** Serves the store at one more address, with values as some hosts are to see them. Resolves to the address. */
  async startView (translate: ValueTranslator): Promise<string> {
    const server = createServer((request, response) => {
      this.onRequest(request, response, translate).catch(() => { response.destroy() })
    })
    this.views.push(server)
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(server.address() as { port: number }).port}`
  }

  private recordEvent (event: StandInEvent): void {
    this.events.push(event)
    for (const notify of [...this.watchers]) notify()
  }

  private async onRequest (
    request: IncomingMessage,
    response: ServerResponse,
    translate: ValueTranslator = (_, text) => text
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    const text = await readText(request)
    this.callCounts.set(url.pathname, (this.callCounts.get(url.pathname) ?? 0) + 1)
    if (this.fault === 'silent') return
    if (this.fault === 'reset') {
      request.socket.destroy()
      return
    }
    if (this.fault === 'busy') return this.writeAnswer(response, 503, {})
    if (this.fault === 'many') return this.writeAnswer(response, 429, {})
    const answer = await this.handleCall(request.method ?? 'GET', url, text === '' ? {} : JSON.parse(text))
    if (this.fault === 'lost' && request.method === 'POST') return
    const { era } = this
    await this.delayAnswer(url.pathname)
    this.writeAnswer(response, answer.status, applyTranslator(answer.body, translate), era)
  }

  private writeAnswer (response: ServerResponse, status: number, body: unknown, era = this.era): void {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(era) }).end(JSON.stringify(body))
  }

  private async handleCall (method: string, url: URL, body: Record<string, never>): Promise<{ readonly status: number, readonly body: unknown }> {
    const [, , call, id] = url.pathname.split('/')
    const prefix = url.searchParams.get('pathPrefix') ?? ''
    switch (`${method} ${call}`) {
      case 'GET kv-key': {
        const item = this.items.get(url.searchParams.get('key') ?? '')
        return item === undefined ? { status: 404, body: { storeRevision: this.revision } } : { status: 200, body: { ...item, storeRevision: this.revision } }
      }
      case 'GET kv-range': {
        const after = url.searchParams.get('after') ?? ''
        const items = [...this.items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).sort((a, b) => a.key < b.key ? -1 : 1)
        return { status: 200, body: { items: items.slice(0, 3), truncated: items.length > 3, storeRevision: this.revision } }
      }
      case 'GET kv-watch': return await this.waitForEvents(prefix, Number(url.searchParams.get('after')), Number(url.searchParams.get('waitMs')))
      case 'POST kv-txn': return this.applyTransaction(body)
      case 'POST kv-lease': return { status: 200, body: { lease: this.createLease(Number(body.ttlMs)), ttlMs: body.ttlMs } }
      case 'POST kv-keep': return this.leases.has(Number(id)) ? { status: 200, body: { ttlMs: 4000 } } : { status: 404, body: {} }
      case 'DELETE kv-lease-end':
        this.endLease(Number(id))
        return { status: 200, body: {} }
      default: return { status: 404, body: {} }
    }
  }

  private async waitForEvents (prefix: string, after: number, waitMs: number): Promise<{ readonly status: number, readonly body: unknown }> {
    if (after < this.oldestRevision || after > this.revision) return { status: 410, body: {} }
    const listEvents = (): readonly StandInEvent[] => this.events.filter(event => event.revision > after && event.key.startsWith(prefix))
    if (listEvents().length === 0) {
      await new Promise<void>(resolve => {
        const resolveIfDue = (): void => {
          if (listEvents().length === 0 && Date.now() < endMs) return
          clearTimeout(timer)
          this.watchers.delete(resolveIfDue)
          resolve()
        }
        const endMs = Date.now() + waitMs
        const timer = setTimeout(resolveIfDue, waitMs + 1)
        this.watchers.add(resolveIfDue)
      })
    }
    return { status: 200, body: { events: listEvents().map(event => event.body), storeRevision: this.revision } }
  }

  private applyTransaction (body: Record<string, unknown>): { readonly status: number, readonly body: unknown } {
    const conditions = body.expectedRevision as ReadonlyArray<{ key: string, revision: number }>
    const writes = body.writes as ReadonlyArray<{ key: string, value: string, lease: number }>
    if (conditions.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) return { status: 412, body: { items: [] } }
    if (writes.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) return { status: 404, body: {} }
    for (const { key, value, lease } of writes) this.write(key, Buffer.from(value, 'base64'), lease)
    for (const key of body.remove as readonly string[]) this.remove(key)
    return { status: 200, body: { revision: this.revision } }
  }

  private createLease (ttlMs: number): number {
    const lease = this.nextLeaseId++
    this.startLease(lease, ttlMs * 10)
    return lease
  }

  private startLease (lease: number, durationMs: number): void {
    const timer = setTimeout(() => { this.endLease(lease) }, durationMs)
    timer.unref()
    this.leases.set(lease, timer)
  }

  private endLease (lease: number): void {
    clearTimeout(this.leases.get(lease))
    this.leases.delete(lease)
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) this.remove(item.key)
    }
  }
}

async function readText (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

/** Translates the values in the body of an answer: those of a list of items or events, or the one of an item. */
function applyTranslator (body: unknown, translate: ValueTranslator): unknown {
  const { key, value, items, events } = body as Readonly<Record<string, unknown>>
  const translateAll = (list: unknown): unknown => {
    return Array.isArray(list) ? list.map(item => applyTranslator(item, translate)) : undefined
  }
  const decode = (): string => Buffer.from(String(value), 'base64').toString('utf8')
  return {
    ...body as object,
    ...typeof value === 'string' ? { value: Buffer.from(translate(String(key), decode())).toString('base64') } : {},
    ...items === undefined ? {} : { items: translateAll(items) },
    ...events === undefined ? {} : { events: translateAll(events) }
  }
}

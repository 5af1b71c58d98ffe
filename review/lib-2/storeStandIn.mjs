import { createServer } from 'node:http'

/** Largest number of items in one page of a range read. */
const pageItems = 500

/**
 * Stand-in of the platform's store: items, leases, transactions, watches and eras, as the platform's protocol page says.
 * `fault` is a function that a case sets to disturb single calls; it returns `true` when it has dealt with the call.
 */
export class StoreStandIn {
  items = new Map()
  leases = new Map()
  events = []
  oldestRevision = 0
  revision = 1
  era = 1
  nextLease = 1
  waiting = new Set()
  fault = undefined
  /** Calls that changed something or were refused, for records. */
  calls = []

  async start () {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => { response.destroy() })
    })
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${this.server.address().port}`
    this.expiry = setInterval(() => { this.endExpiredLeases() }, 50)
    return this
  }

  stop () {
    clearInterval(this.expiry)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes an item as the operator or a server does. */
  write (key, value, lease = 0) {
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value))
    const known = this.items.get(key)
    const item = { key, value: bytes.toString('base64'), revision: ++this.revision, created: known?.created ?? this.revision, lease }
    this.items.set(key, item)
    this.publish({ revision: item.revision, key, body: item })
  }

  remove (key) {
    if (!this.items.delete(key)) return
    const revision = ++this.revision
    this.publish({ revision, key, body: { key, revision, deleted: true } })
  }

  read (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8')
  }

  /** A copy as a backup takes it. */
  copy () {
    return { items: new Map(this.items), leases: new Map(this.leases), revision: this.revision, nextLease: this.nextLease }
  }

  /** Is away until it is restored: connections are reset, new ones too. */
  goAway () {
    this.isAway = true
    this.server.closeAllConnections()
  }

  /** Comes back from a copy: what was written since is gone, and the era rises by one. */
  restore (copy) {
    this.era++
    this.isAway = false
    const nowMs = performance.now()
    this.items = new Map(copy.items)
    // The time that a lease had left at the copy starts again.
    this.leases = new Map([...copy.leases].map(([id, { ttlMs }]) => [id, { ttlMs, untilMs: nowMs + ttlMs }]))
    this.revision = copy.revision
    this.nextLease = copy.nextLease
    this.events = this.events.filter(event => event.revision <= copy.revision)
  }

  publish (event) {
    this.events.push(event)
    for (const wake of [...this.waiting]) wake()
  }

  endExpiredLeases () {
    if (this.isAway) return
    const nowMs = performance.now()
    for (const [id, { untilMs }] of [...this.leases]) if (untilMs <= nowMs) this.endLease(id)
  }

  endLease (id) {
    this.leases.delete(id)
    for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key)
  }

  async handle (request, response) {
    if (this.isAway) return request.socket.resetAndDestroy()
    const url = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const text = Buffer.concat(chunks).toString('utf8')
    const body = text === '' ? {} : JSON.parse(text)
    if (this.fault?.(request, url, body, response) === true) return
    const answer = await this.apply(request.method, url, body)
    const send = () => {
      response.writeHead(answer.status, { 'content-type': 'application/json', 'store-era': String(this.era) })
      response.end(JSON.stringify(answer.body))
    }
    if (this.delayMs > 0) setTimeout(send, this.delayMs)
    else send()
  }

  async apply (method, url, body) {
    const [, , call, id] = url.pathname.split('/')
    const query = url.searchParams
    const prefix = query.get('pathPrefix') ?? ''
    if (method === 'GET' && call === 'kv-key') {
      const item = this.items.get(query.get('key') ?? '')
      return item === undefined
        ? { status: 404, body: { storeRevision: this.revision } }
        : { status: 200, body: { ...item, storeRevision: this.revision } }
    }
    if (method === 'GET' && call === 'kv-range') {
      const after = query.get('after') ?? ''
      const items = [...this.items.values()]
        .filter(item => item.key.startsWith(prefix) && item.key > after)
        .sort((a, b) => a.key < b.key ? -1 : 1)
      return { status: 200, body: { items: items.slice(0, pageItems), truncated: items.length > pageItems, storeRevision: this.revision } }
    }
    if (method === 'GET' && call === 'kv-watch') return await this.watch(prefix, Number(query.get('after')), Number(query.get('waitMs')))
    if (method === 'POST' && call === 'kv-txn') return this.transact(body)
    if (method === 'POST' && call === 'kv-lease') {
      const ttlMs = Math.min(Math.max(Number(body.ttlMs), 1000), 600_000)
      const lease = this.nextLease++
      this.leases.set(lease, { ttlMs, untilMs: performance.now() + ttlMs })
      return { status: 200, body: { lease, ttlMs } }
    }
    if (method === 'POST' && call === 'kv-keep') {
      const lease = this.leases.get(Number(id))
      if (lease === undefined) return { status: 404, body: {} }
      lease.untilMs = performance.now() + lease.ttlMs
      return { status: 200, body: { lease: Number(id), ttlMs: lease.ttlMs } }
    }
    if (method === 'DELETE' && call === 'kv-lease-end') {
      if (!this.leases.has(Number(id))) return { status: 404, body: {} }
      this.endLease(Number(id))
      return { status: 200, body: {} }
    }
    return { status: 404, body: {} }
  }

  async watch (prefix, after, waitMs) {
    const era = this.era
    if (after < this.oldestRevision || after > this.revision) return { status: 410, body: {} }
    const list = () => this.events.filter(event => event.revision > after && event.key.startsWith(prefix))
    if (list().length === 0) {
      await new Promise(resolve => {
        const end = () => {
          clearTimeout(timer)
          this.waiting.delete(wake)
          resolve()
        }
        const wake = () => { if (list().length > 0) end() }
        const timer = setTimeout(end, waitMs)
        this.waiting.add(wake)
      })
    }
    if (this.era !== era) return { status: 410, body: {} }
    return { status: 200, body: { events: list().map(event => event.body), storeRevision: this.revision } }
  }

  transact (body) {
    const { expectedRevision = [], writes = [], remove = [] } = body
    const differs = expectedRevision.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)
    if (differs) {
      const items = expectedRevision.map(({ key }) => this.items.get(key)).filter(item => item !== undefined)
      return { status: 412, body: { items } }
    }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return { status: 404, body: {} }
    for (const { key, value, lease = 0 } of writes) this.write(key, Buffer.from(value, 'base64'), lease)
    for (const key of remove) this.remove(key)
    return { status: 200, body: { revision: this.revision } }
  }
}

// Stand-in of the platform's store: items, leases, watches and transactions as the users' pages describe them.
import { createServer } from 'node:http'

/** Most items of one page of a range. */
const pageSize = 500

export class Store {
  /** Whether a call is to be held back; returns a promise that resolves when it may go on. */
  delayCall = async () => {}
  era
  revision = 1
  items = new Map()
  leases = new Map()
  events = []
  oldest = 0
  waiting = new Set()
  nextLease = 1
  connections = new Set()
  isAway = false

  constructor (host, { era } = {}) {
    this.host = host
    this.era = era
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => { response.destroy() })
    })
    this.server.on('connection', socket => {
      this.connections.add(socket)
      socket.on('close', () => { this.connections.delete(socket) })
      if (this.isAway) socket.resetAndDestroy()
    })
  }

  async start () {
    await new Promise(resolve => { this.server.listen(0, this.host, resolve) })
    this.address = `${this.host}:${this.server.address().port}`
    this.sweep = setInterval(() => { this.endLeases() }, 20)
    return this
  }

  stop () {
    clearInterval(this.sweep)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes an item as the operator or a runner does. */
  write (key, value, lease = 0) {
    const known = this.items.get(key)
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value))
    const revision = ++this.revision
    const item = { key, value: bytes.toString('base64'), revision, created: known?.created ?? revision, lease }
    this.items.set(key, item)
    this.record(item)
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.record({ key, revision: ++this.revision, deleted: true })
  }

  read (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  copy () {
    return { items: new Map(this.items), leases: new Map(this.leases), revision: this.revision, nextLease: this.nextLease }
  }

  /** Refuses all calls from now on. */
  leave () {
    this.isAway = true
    for (const socket of this.connections) socket.resetAndDestroy()
  }

  /** Comes back, from an older copy when there is one. */
  comeBack (copy) {
    this.isAway = false
    if (copy === undefined) return
    this.era++
    this.items = new Map(copy.items)
    // The leases of the copy go on with the time that they had left.
    this.leases = new Map([...copy.leases].map(([id, { ttlMs }]) => [id, { ttlMs, endsAt: performance.now() + ttlMs }]))
    this.revision = copy.revision
    this.nextLease = copy.nextLease
    this.events = []
    this.oldest = copy.revision
  }

  record (event) {
    this.events.push(event)
    for (const wake of [...this.waiting]) wake()
  }

  endLeases () {
    for (const [id, { endsAt }] of this.leases) {
      if (endsAt <= performance.now()) this.endLease(id)
    }
  }

  endLease (id) {
    if (!this.leases.delete(id)) return false
    for (const item of [...this.items.values()]) {
      if (item.lease === id) this.remove(item.key)
    }
    return true
  }

  async handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    await this.delayCall(request.method, url.pathname, request.socket)
    const text = Buffer.concat(chunks).toString()
    const { status, body } = await this.call(request.method, url, text === '' ? {} : JSON.parse(text))
    const headers = { 'content-type': 'application/json' }
    if (this.era !== undefined) headers['store-era'] = String(this.era)
    setTimeout(() => { response.writeHead(status, headers).end(JSON.stringify(body)) }, 4)
  }

  async call (method, url, body) {
    const [, , name, id] = url.pathname.split('/')
    const query = url.searchParams
    switch (`${method} ${name}`) {
      case 'GET kv-key': {
        const item = this.items.get(query.get('key'))
        return item === undefined
          ? { status: 404, body: { storeRevision: this.revision } }
          : { status: 200, body: { ...item, storeRevision: this.revision } }
      }
      case 'GET kv-range': {
        const [prefix, after] = [query.get('pathPrefix') ?? '', query.get('after') ?? '']
        const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => a.key < b.key ? -1 : 1)
        const items = found.slice(0, pageSize)
        return { status: 200, body: { items, truncated: found.length > pageSize, storeRevision: this.revision } }
      }
      case 'GET kv-watch': return await this.watch(query)
      case 'POST kv-txn': return this.transact(body)
      case 'POST kv-lease': {
        const lease = this.nextLease++
        this.leases.set(lease, { ttlMs: body.ttlMs, endsAt: performance.now() + body.ttlMs })
        return { status: 200, body: { lease, ttlMs: body.ttlMs } }
      }
      case 'POST kv-keep': {
        const lease = this.leases.get(Number(id))
        if (lease === undefined) return { status: 404, body: {} }
        lease.endsAt = performance.now() + lease.ttlMs
        return { status: 200, body: { ttlMs: lease.ttlMs } }
      }
      case 'DELETE kv-lease-end': return { status: this.endLease(Number(id)) ? 200 : 404, body: {} }
      default: return { status: 404, body: {} }
    }
  }

  async watch (query) {
    const [prefix, after, waitMs] = [query.get('pathPrefix') ?? '', Number(query.get('after')), Number(query.get('waitMs'))]
    if (after < this.oldest || after > this.revision) return { status: 410, body: {} }
    const list = () => this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
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
    return { status: 200, body: { events: list(), storeRevision: this.revision } }
  }

  transact ({ expectedRevision = [], writes = [], remove = [] }) {
    const differing = expectedRevision.filter(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)
    if (differing.length > 0) {
      return { status: 412, body: { items: expectedRevision.flatMap(({ key }) => this.items.get(key) ?? []) } }
    }
    if (writes.some(({ lease }) => lease !== 0 && lease !== undefined && !this.leases.has(lease))) return { status: 404, body: {} }
    for (const { key, value, lease } of writes) this.write(key, Buffer.from(value, 'base64'), lease)
    for (const key of remove) this.remove(key)
    return { status: 200, body: { revision: this.revision } }
  }
}

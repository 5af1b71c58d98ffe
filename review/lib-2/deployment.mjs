import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { HostProcess } from './hostProcess.mjs'
import { StoreStandIn } from './storeStandIn.mjs'
import { UpstreamStandIn } from './upstreamStandIn.mjs'

const heartbeatMs = 1200
const zones = ['north-pier', 'south-pier', 'faculty-hall', 'port-office']

/** A small deployment: one store, hosts as processes, servers and an operator's configuration. */
export class Deployment {
  hosts = []
  upstreams = new Map()
  /** Links and views, which end with the deployment. */
  parts = []
  lines = []
  version = 1

  constructor (label) {
    this.startedAtMs = performance.now()
    this.folder = mkdtempSync(join(tmpdir(), `review-${label}-`))
  }

  /** Adds a line to the record, with the time since the start. */
  record (text) {
    this.lines.push(`${((performance.now() - this.startedAtMs) / 1000).toFixed(3)} ${text}`)
  }

  async start () {
    this.store = await new StoreStandIn().start()
    return this
  }

  /** Prepares a host; `storeAddress` is where it reaches the store. */
  async addHost (storeAddress = this.store.address) {
    const index = this.hosts.length
    const zone = zones[index % zones.length]
    const host = await new HostProcess({ name: `front-${index + 1}`, index, folder: this.folder, storeAddress, zone }).prepare()
    this.hosts.push(host)
    return host
  }

  /** Adds a link or a view that is to end with the deployment. */
  async addPart (part) {
    this.parts.push(part)
    return await part.start()
  }

  configure ({ routes, services, limits = {}, tenants }) {
    this.version += 3
    this.store.write('op/config', {
      version: this.version,
      routes: routes.map(route => ({ host: 'pule25.example', timeoutMs: 6000, targetLatencyMs: 1000, priority: 1, maxAttempts: 1, ...route })),
      services: services.map(service => ({ healthCheckPath: '/health', connectionLimit: 100, ...service })),
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, ...limits },
      ...tenants === undefined ? {} : { tenants }
    })
    this.record(`operator: configuration ${this.version}`)
  }

  async addUpstream (id, service, answer, { version = 'v1', zone = 'north-pier', slots = 8, address } = {}) {
    const upstream = await new UpstreamStandIn(id, answer).start(address)
    this.record(`${id} (${service}, ${version}) starts`)
    Object.assign(upstream, { service, version, zone, slots, born: Date.now(), sequence: 0 })
    this.upstreams.set(id, upstream)
    this.announce(upstream)
    upstream.heartbeat = setInterval(() => { this.announce(upstream) }, heartbeatMs)
    return upstream
  }

  /** Writes the entry of a server, as its heartbeat does. */
  announce (upstream, state = upstream.state ?? 'ready') {
    upstream.state = state
    if (upstream.isSilent) return
    const { id, service, address, zone, version, slots, born } = upstream
    this.store.write(`servers/${id}`, { service, address, zone, version, slots, state, coldRemainingMs: 0, sequence: ++upstream.sequence, born })
  }

  /** Ends a server as a crash does: its connections are reset, its heartbeat ends, and its entry stays for now. */
  crash (upstream) {
    clearInterval(upstream.heartbeat)
    upstream.isSilent = true
    upstream.crash()
    this.record(`${upstream.id} (${upstream.version}) crashes`)
  }

  /** Ends the heartbeat of a server and removes its entry. */
  withdraw (upstream) {
    clearInterval(upstream.heartbeat)
    upstream.isSilent = true
    this.store.remove(`servers/${upstream.id}`)
  }

  async startHosts () {
    for (const host of this.hosts) host.start()
    await Promise.all(this.hosts.map(async host => { await host.waitReady() }))
  }

  async waitFor (check, limitMs = 10_000) {
    const untilMs = performance.now() + limitMs
    while (performance.now() < untilMs) {
      if (check()) return true
      await delay(10)
    }
    return false
  }

  async stop () {
    for (const host of this.hosts) await host.kill()
    for (const upstream of this.upstreams.values()) {
      clearInterval(upstream.heartbeat)
      upstream.stop()
    }
    for (const part of this.parts) part.stop()
    this.store?.stop()
  }

  writeRecord (path) {
    writeFileSync(path, `${this.lines.join('\n')}\n`)
  }
}

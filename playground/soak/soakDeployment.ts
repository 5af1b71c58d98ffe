import { buildHostDisruptions } from './buildHostDisruptions.js'
import { mkdtempSync, rmSync } from 'node:fs'
import { setTimeout as waitMs } from 'node:timers/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { LoopWatch } from './loopWatch.js'
import { SoakBuilds } from './soakBuilds.js'
import { soakConstants } from './constants.js'
import { SoakHost } from './soakHost.js'
import { SoakUpstream } from './soakUpstream.js'
import { StoreStandIn } from '../platform/storeStandIn.js'
import type { SoakDisruption } from './soakDisruption.js'
import type { SoakEngine } from './soakEngine.js'
import type { SoakExecution } from './soakExecution.js'
import type { SoakOptions } from './soakOptions.js'
import type { SoakPiece } from './soakPiece.js'
import type { SoakRecords } from './soakRecords.js'
import type { SoakRequest } from './soakRequest.js'

const services = [
  { name: 'shop', type: 'plain', versions: ['v1', 'v1', 'v1'] },
  { name: 'shop-b', type: 'plain', versions: ['v1', 'v1'] },
  { name: 'engines', type: 'engine', versions: ['v1', 'v1', 'v2', 'v2'] },
  { name: 'first', type: 'stage', versions: ['v1', 'v1'] },
  { name: 'second', type: 'stage', versions: ['v1', 'v1'] }
] as const

/** The hosts, the store and the upstreams of a soak test. */
export class SoakDeployment {
  readonly store = new StoreStandIn()
  readonly hosts: SoakHost[] = []
  readonly upstreams: SoakUpstream[] = []
  readonly executions: SoakExecution[] = []
  readonly pieces: SoakPiece[] = []
  readonly requests: SoakRequest[] = []
  /** Builds of the program that the hosts start from; undefined before `start`. */
  builds: SoakBuilds | undefined
  readonly allowedServices = new Map<string, Set<string>>()
  private readonly ownDisruptions: SoakDisruption[] = []
  private readonly executionEnds = new Map<string, number>()
  private readonly folder = mkdtempSync(join(tmpdir(), 'lycheetrack-soak-'))
  private version = 0
  private readonly loopWatch = new LoopWatch()
  /** Failure domain by id of the upstream, also of those that are gone. */
  private readonly domains = new Map<string, string>()
  /** Service by id of the upstream, likewise. */
  private readonly services = new Map<string, string>()
  private readonly engines = new Map<string, SoakEngine>()
  private upstreamCount = 0
  private versionCount = 2
  private sequence = 0
  private configuredService: 'shop' | 'shop-b' = 'shop'
  /** State by id of each upstream that has an entry. */
  private readonly entryStates = new Map<string, 'ready' | 'draining'>()

  async start ({ program, replacedProgram, hosts }: SoakOptions, network: number): Promise<void> {
    const builds = new SoakBuilds(program, join(this.folder, 'product'))
    this.builds = builds
    this.loopWatch.start()
    await this.store.start()
    this.writeConfiguration('shop')
    for (const service of services) {
      for (const version of service.versions) await this.addUpstream(service.name, service.type, version)
    }
    for (let index = 0; index < hosts; index++) {
      this.hosts.push(await new SoakHost({
        index,
        network,
        folder: this.folder,
        program: replacedProgram ?? builds.program,
        storeAddress: this.store.address,
        restartDelayMs: soakConstants.restartDelayMs
      }).start())
    }
  }

  /** Resolves when all hosts are ready. */
  async waitReady (): Promise<void> {
    await Promise.all(this.hosts.map(async host => { await host.waitReady() }))
  }

  /** Replaces the program of the hosts one after the other, within a time. */
  async updatePrograms (forMs: number): Promise<void> {
    for (const host of this.hosts) {
      await waitMs(forMs / this.hosts.length)
      await host.updateProgram(this.builds!.program)
    }
  }

  /** A software version that no upstream has had. */
  createVersion (): string {
    return `v${++this.versionCount}`
  }

  async addUpstream (service: string, type: 'plain' | 'engine' | 'stage', version: string): Promise<SoakUpstream> {
    const id = `i-${++this.upstreamCount}`
    const domain = `zone-${1 + this.upstreamCount % 2}`
    this.domains.set(id, domain)
    this.services.set(id, service)
    const upstream = await new SoakUpstream({
      id,
      service,
      type,
      version,
      domain,
      onExecution: execution => { this.executions.push(execution) },
      onExecutionEnd: signature => { this.executionEnds.set(signature, performance.now()) },
      onPiece: piece => { this.pieces.push(piece) }
    }).start()
    this.upstreams.push(upstream)
    if (type === 'engine') {
      this.engines.set(upstream.options.id, { version, startedAtMs: performance.now(), leavesAtMs: Infinity })
    }
    this.writeEntry(upstream, 'ready')
    return upstream
  }

  /** Records a disruption from now on; the returned function records its end. */
  recordDisruption (type: SoakDisruption['type'], id: string): () => void {
    const fromMs = performance.now()
    const index = this.ownDisruptions.push({ type, id, fromMs, toMs: Infinity }) - 1
    return () => { this.ownDisruptions[index] = { type, id, fromMs, toMs: performance.now() } }
  }

  writeEntry (upstream: SoakUpstream, state: 'ready' | 'draining'): void {
    if (state === 'draining') this.recordLeaving(upstream)
    this.entryStates.set(upstream.options.id, state)
    this.store.write(`servers/${upstream.options.id}`, upstream.buildEntry(state, ++this.sequence))
  }

  /** Writes the entries of all upstreams and the configuration again, after the store has come back from an older copy. */
  writeAgain (): void {
    for (const key of this.store.listKeys()) {
      if (key.startsWith('servers/') && !this.entryStates.has(key.slice('servers/'.length))) this.store.remove(key)
    }
    for (const upstream of this.upstreams) this.writeEntry(upstream, this.entryStates.get(upstream.options.id) ?? 'ready')
    this.writeConfiguration(this.configuredService)
  }

  removeUpstream (upstream: SoakUpstream): void {
    this.recordLeaving(upstream)
    this.recordDisruption('upstream', upstream.options.id)
    this.entryStates.delete(upstream.options.id)
    this.store.remove(`servers/${upstream.options.id}`)
    this.upstreams.splice(this.upstreams.indexOf(upstream), 1)
    upstream.stop()
  }

  /** Writes the next version of the configuration; the routes `safe` and `once` lead to `service`. */
  writeConfiguration (service: 'shop' | 'shop-b'): void {
    this.version += 3
    this.configuredService = service
    this.recordDisruption('configuration', service)()
    const route = { host: 'soak.example', timeoutMs: 2500, targetLatencyMs: 500, priority: 1, maxAttempts: 2 }
    const stages = [{ service: 'first', after: [], bytes: 1000 }, { service: 'second', after: [0], bytes: 1000 }]
    const routes = [
      { ...route, name: 'safe', pathPrefix: '/safe/', kind: 'safe', service },
      { ...route, name: 'once', pathPrefix: '/once/', kind: 'unsafe', service, maxAttempts: 1 },
      { ...route, name: 'stream', pathPrefix: '/stream/', kind: 'streaming', resumeStreams: true, service: 'engines' },
      { ...route, name: 'brittle', pathPrefix: '/brittle/', kind: 'streaming', service: 'engines' },
      { ...route, name: 'pipe', pathPrefix: '/pipe/', kind: 'streaming', service: 'engines', stages }
    ]
    for (const { pathPrefix, service: target } of routes) {
      this.allowedServices.set(pathPrefix, new Set([...this.allowedServices.get(pathPrefix) ?? [], target]))
    }
    const pieces = { slots: 1, queue: 2, batch: 8, callMs: 10, itemMs: 1, headroomMb: 10, handleS: 4, linkMbps: 1000 }
    this.store.write('op/config', {
      version: this.version,
      routes,
      services: services.map(({ name, type }) => ({
        name,
        healthCheckPath: '/health',
        connectionLimit: 60,
        ...type === 'stage' ? { pieces } : {},
        ...type === 'engine' ? { engine: { slots: 8, kvCacheTokens: 10_000 } } : {}
      })),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: soakConstants.maxBodyBytes,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000
      },
      tenants: [{ name: 'account-1', apiKeys: ['soak-key'] }]
    })
  }

  /** Stops the processes of the hosts with SIGTERM. */
  async stopHosts (): Promise<void> {
    await Promise.all(this.hosts.map(async host => { await host.stop() }))
  }

  /** `endedAtMs`: end of the part of the run that is checked for recovery. */
  buildRecords (endedAtMs: number): SoakRecords {
    const { requests, pieces, allowedServices } = this
    return {
      requests,
      executions: this.executions.map(execution => {
        return { ...execution, endedAtMs: this.executionEnds.get(execution.signature) }
      }),
      pieces,
      domains: this.domains,
      services: this.services,
      engines: [...this.engines.values()],
      runs: this.hosts.flatMap(host => host.listRuns()),
      heldUp: this.loopWatch.heldUp,
      disruptions: [...this.ownDisruptions, ...this.hosts.flatMap(host => buildHostDisruptions(host.listRuns()))],
      allowedServices,
      endedAtMs
    }
  }

  private recordLeaving ({ options: { id } }: SoakUpstream): void {
    this.recordDisruption('leaving', id)
    const engine = this.engines.get(id)
    if (engine === undefined) return
    this.engines.set(id, { ...engine, leavesAtMs: Math.min(engine.leavesAtMs, performance.now()) })
  }

  async stop (): Promise<void> {
    await this.stopHosts()
    for (const upstream of this.upstreams) upstream.stop()
    this.store.stop()
    this.loopWatch.stop()
    rmSync(this.folder, { recursive: true })
  }
}

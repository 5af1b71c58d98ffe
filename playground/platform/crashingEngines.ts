import { buildStandInAnswer } from './buildStandInAnswer.js'
import { UpstreamStandIn } from './upstreamStandIn.js'
import type { GatewayTestHarness } from './gatewayTestHarness.js'
import type { Socket } from 'node:net'
import type { StandInRequest } from './standInRequest.js'

interface EnginesOptions {
  readonly fleet: GatewayTestHarness
  readonly service: string
  /** Whether an engine ends when it begins to answer a request. */
  readonly isCrashing: (request: StandInRequest) => boolean
  /** Time until an engine begins an answer. */
  readonly prefillMs: number
  /** Time after which an engine that has ended is back under another id. */
  readonly restartMs: number
  /** Beginning of the engines' ids. */
  readonly idPrefix?: string
}

/**
 * Engines of one service, registered in the store of a test harness. Each ends when it begins to answer a crashing
 * request.
 */
export class CrashingEngines {
  readonly engines: UpstreamStandIn[] = []
  /** Crashing requests that reached an engine. */
  arrivals = 0
  crashes = 0
  private startedCount = 0
  private isStopped = false
  private readonly idPrefix: string

  constructor (private readonly options: EnginesOptions) {
    this.idPrefix = options.idPrefix ?? 'i-engine'
  }

  async start (count: number): Promise<this> {
    for (let i = 0; i < count; i++) await this.startEngine()
    return this
  }

  stop (): void {
    this.isStopped = true
    for (const engine of this.engines.splice(0)) engine.stop()
  }

  /** Writes the entries of the running engines, as they do after a restore of the store, and removes those of others. */
  writeEntries (): void {
    const { fleet, service } = this.options
    const stored = fleet.store.listKeys().filter(key => key.startsWith(`servers/${this.idPrefix}-`))
    for (const key of stored) {
      if (!this.engines.some(engine => key.endsWith(`/${engine.id}`))) fleet.store.remove(key)
    }
    for (const engine of this.engines) fleet.addUpstream(engine, service)
  }

  /** Ends an engine with all its connections; another one takes its place after a while. */
  kill (engine: UpstreamStandIn): void {
    const index = this.engines.indexOf(engine)
    if (index < 0) return
    this.engines.splice(index, 1)
    engine.stop()
    setTimeout(() => {
      if (this.isStopped) return
      this.options.fleet.store.remove(`servers/${engine.id}`)
      this.startEngine().catch(() => {})
    }, this.options.restartMs)
  }

  private async startEngine (): Promise<void> {
    const { fleet, service } = this.options
    const id = `${this.idPrefix}-${++this.startedCount}`
    const engine: UpstreamStandIn = new UpstreamStandIn(id, (request, socket) => {
      this.onRequest(engine, request, socket)
    })
    await engine.start()
    this.engines.push(engine)
    fleet.addUpstream(engine, service)
  }

  private onRequest (engine: UpstreamStandIn, request: StandInRequest, socket: Socket): void {
    const { prefillMs } = this.options
    const isCrashing = this.options.isCrashing(request)
    if (isCrashing) this.arrivals++
    setTimeout(() => {
      if (isCrashing && this.engines.includes(engine)) {
        this.crashes++
        this.kill(engine)
      }
      const headers = { 'Content-Type': 'text/event-stream' }
      socket.write(buildStandInAnswer(request, { body: 'id: 1\ndata: a\n\n', headers }))
    }, prefillMs)
  }
}

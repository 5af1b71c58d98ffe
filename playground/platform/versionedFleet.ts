import { GatewayTestHarness } from './gatewayTestHarness.js'
import { readFirstEvents } from './readFirstEvents.js'
import { sendClientRequest } from './sendClientRequest.js'
import { sendNumberedEvents } from './sendNumberedEvents.js'
import { UpstreamStandIn } from './upstreamStandIn.js'
import type { ClientAnswer } from './clientAnswer.js'

const resumablePath = '/resumable/x'
const clientHeaders = { host: 'shop.example', 'x-time-remaining': '8000' }
const lastEvent = 60

interface BrokenStream {
  readonly id: string
  readonly version: string
  readonly lastEventId: string
}

/** Hosts that share a store, and upstreams of several software versions whose events name their version. */
export class VersionedFleet {
  readonly hosts: GatewayTestHarness[] = []
  readonly upstreams = new Map<string, UpstreamStandIn>()
  private readonly writer = new GatewayTestHarness('writer')
  private startedHosts = 0

  get store (): GatewayTestHarness['store'] {
    return this.writer.store
  }

  async start (hostCount: number, upstreamVersions: Readonly<Record<string, string>>): Promise<this> {
    await this.store.start()
    const route = { kind: 'streaming', service: 'llm', timeoutMs: 9000, targetGapMs: 200, maxAttempts: 2 }
    this.writer.writeConfiguration({
      services: [{ name: 'llm', connectionLimit: 400, engine: { slots: 40, kvCacheTokens: 1000 } }],
      routes: [{ ...route, name: 'resumable', pathPrefix: '/resumable/', resumeStreams: true }]
    })
    for (const [id, version] of Object.entries(upstreamVersions)) await this.addUpstream(id, version)
    for (let i = 0; i < hostCount; i++) await this.startHost()
    return this
  }

  /** Starts a host that knows nothing but what the store holds. */
  async startHost (): Promise<GatewayTestHarness> {
    const host = await new GatewayTestHarness(`host-${++this.startedHosts}`, this.store).start()
    this.hosts.push(host)
    await host.waitForLogLine('configuration in force')
    for (const id of this.upstreams.keys()) await host.waitForLogLine('upstream added', id)
    return host
  }

  async stopHost (host: GatewayTestHarness): Promise<void> {
    this.hosts.splice(this.hosts.indexOf(host), 1)
    await host.stop()
  }

  async stopHosts (): Promise<void> {
    await Promise.all(this.hosts.splice(0).map(async host => { await host.stop() }))
  }

  async addUpstream (id: string, version: string): Promise<void> {
    const standIn = await new UpstreamStandIn(id, (request, socket) => { sendNumberedEvents(request, socket, lastEvent, () => version) }).start()
    this.upstreams.set(id, standIn)
    this.writer.addUpstream(standIn, 'llm', 'ready', version)
  }

  /** Removes the upstreams of a version from the store, and waits until the hosts know. */
  async removeVersion (ids: readonly string[]): Promise<void> {
    for (const id of ids) {
      this.store.remove(`servers/${id}`)
      this.upstreams.get(id)!.stop()
      this.upstreams.delete(id)
    }
    for (const host of this.hosts) {
      for (const id of ids) await host.waitForLogLine('upstream gone', id)
    }
  }

  /** Sends requests at once, each of whose clients leaves after its first events. */
  async startBrokenStreams (host: GatewayTestHarness, count: number, label: string): Promise<readonly BrokenStream[]> {
    return await Promise.all(Array.from({ length: count }, async (_, i) => {
      const id = `${label}-${i}`
      const headers = { ...clientHeaders, 'x-request-id': id }
      const events = parseEvents(await readFirstEvents(host.settings.clientAddress, resumablePath, headers, 5))
      return { id, version: events.at(-1)?.version ?? '', lastEventId: events.at(-1)?.id ?? '' }
    }))
  }

  /** Sends the request of a client that takes a stream up. */
  async resume (host: GatewayTestHarness, stream: BrokenStream, attempt = 1): Promise<ClientAnswer> {
    const headers = { resumes: stream.id, 'last-event-id': stream.lastEventId }
    return await this.send(host, `${stream.id}-again-${attempt}`, headers)
  }

  /** Takes streams up; counts how they went on. */
  async resumeAll (host: GatewayTestHarness, streams: readonly BrokenStream[]): Promise<Readonly<Record<string, number>>> {
    const counts = { wentOn: 0, joined: 0, refused: 0 }
    await Promise.all(streams.map(async stream => {
      const { status, body } = await this.resume(host, stream)
      const versions = new Set(parseEvents(body).map(event => event.version))
      if (status !== 200) counts.refused++
      else if (versions.size === 1 && versions.has(stream.version)) counts.wentOn++
      else counts.joined++
    }))
    return counts
  }

  async stop (): Promise<void> {
    await this.stopHosts()
    for (const standIn of this.upstreams.values()) standIn.stop()
    this.store.stop()
  }

  async send (host: GatewayTestHarness, id: string, headers: Readonly<Record<string, string>> = {}): Promise<ClientAnswer> {
    return await sendClientRequest(host.settings.clientAddress, id, resumablePath, { headers: { ...clientHeaders, ...headers } })
  }
}

function parseEvents (body: string): ReadonlyArray<{ readonly id: string, readonly version: string }> {
  return [...body.matchAll(/id: (\d+)\ndata: (\S+)\n\n/g)].map(([, id, version]) => ({ id: id!, version: version! }))
}

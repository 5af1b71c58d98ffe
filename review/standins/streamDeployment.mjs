// A small deployment of one model service whose streams have neither a length nor chunks, and its clients.
import { Client } from './client.mjs'
import { findAddress, Gateway } from './gateway.mjs'
import { ModelRunner } from './modelRunner.mjs'
import { Store } from './store.mjs'
import { wait } from './case.mjs'

const zones = ['north-pier', 'south-pier', 'faculty-hall', 'port-office']
const hostName = 'pule25.example'
const apiKey = '9dnn2ctnfzs989anu6ws'
const region = 'varna'
const heartbeatMs = 1200

export class StreamDeployment {
  runners = []
  gateways = []
  breaks = []
  counts = { sent: 0, whole: 0, early: 0, other: 0 }
  runCounts = new Map()
  nextRunner = 1
  sequence = 0

  /** `events` is the number of events of each stream. */
  constructor ({ folder, record, own, events, pauseMs }) {
    Object.assign(this, { folder, record, own, events, pauseMs })
  }

  async start ({ runnerCount, gatewayCount }) {
    this.host = await findAddress()
    this.store = this.own(await new Store(this.host).start())
    for (let i = 0; i < runnerCount; i++) await this.addRunner(zones[i % zones.length])
    this.store.write('op/config', {
      version: 7,
      routes: [{
        name: 'log-digest',
        host: hostName,
        pathPrefix: '/puxa400/',
        kind: 'streaming',
        service: 'lychee-pool',
        timeoutMs: 12_000,
        targetLatencyMs: 1900,
        targetGapMs: 600,
        priority: 1,
        maxAttempts: 1,
        resumeStreams: false,
        stickySessions: true
      }],
      services: [{ name: 'lychee-pool', healthCheckPath: '/health', connectionLimit: 280, engine: { slots: 64, kvCacheTokens: 423475 } }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
      tenants: [{ name: 'bozi300', apiKeys: [apiKey], priority: 0 }]
    })
    this.beat()
    const beats = setInterval(() => { this.beat() }, heartbeatMs)
    this.own({ stop: () => { clearInterval(beats) } })
    for (let i = 0; i < gatewayCount; i++) {
      const zone = zones[i % zones.length]
      const gateway = new Gateway({ name: `front-${zone}-${i + 1}`, host: await findAddress(), zone, folder: this.folder, storeAddress: this.store.address })
      this.gateways.push(this.own(gateway.start()))
    }
    await Promise.all(this.gateways.map(gateway => gateway.waitReady()))
    return this
  }

  async addRunner (zone) {
    const { host, events, pauseMs } = this
    const onRun = ({ id, runner }) => {
      this.runCounts.set(id, (this.runCounts.get(id) ?? 0) + 1)
      this.record(`${runner} runs ${id}`)
    }
    const id = `i-model-${this.nextRunner++}`
    const runner = await new ModelRunner({ host, id, service: 'lychee-pool', zone, slots: 64, firstMs: 60, pauseMs, events, isFramed: false, onRun }).start()
    this.runners.push(this.own(runner))
    return runner
  }

  beat () {
    this.sequence++
    this.beatAtMs = performance.now()
    for (const runner of this.runners) this.store.write(`servers/${runner.id}`, runner.buildEntry(this.sequence))
  }

  /** A crashed runner says nothing: the platform removes its entry three heartbeats after its last one. */
  expectRemoval ({ id }) {
    setTimeout(() => { this.store.remove(`servers/${id}`) }, this.beatAtMs + 3 * heartbeatMs - performance.now())
  }

  /** Addresses of the gateways as one of them tells them; a client asks up to three. */
  async resolve () {
    const asked = [...this.gateways].sort(() => Math.random() - 0.5).slice(0, 3)
    for (const { directoryAddress, zone } of asked) {
      const url = `http://${directoryAddress}/-/resolution?name=${hostName}&region=${region}&zone=${zone}`
      const answer = await fetch(url, { signal: AbortSignal.timeout(1000) }).then(response => response.json()).catch(() => undefined)
      if (answer?.addresses?.length > 0) return answer
    }
    return undefined
  }

  /** One client until `endMs`: it keeps a list of addresses for the time that the answer states. */
  async runClient (i, endMs) {
    const client = this.own(new Client({ hostName, apiKey }))
    let addresses = []
    let resolvedUntilMs = 0
    for (let n = 0; performance.now() < endMs; n++) {
      if (performance.now() >= resolvedUntilMs) {
        const answer = await this.resolve()
        if (answer !== undefined) {
          addresses = answer.addresses
          resolvedUntilMs = performance.now() + answer.ttlS * 1000
        }
      }
      const address = addresses[Math.floor(Math.random() * addresses.length)]
      if (address !== undefined) await this.sendRequest(client, i, n, address)
      await wait(100)
    }
  }

  async sendRequest (client, i, n, address) {
    const { breaks, counts, events, record, runCounts } = this
    counts.sent++
    const answer = await client.send({
      address,
      path: `/puxa400/${i}-${n}`,
      timeLeftMs: 12_000,
      body: `digest ${i} ${n}`,
      headers: { 'X-Model': 'm', 'X-Token-Counts': '700,200', 'X-Prompt-Prefix': `5c1e07a2:100,${i}a${n}:600` }
    })
    const received = answer.body.split('\n\n').length - 1
    const isSuccess = answer.status === 200
    // Without a length and chunks, a stream is complete when its connection ends, not reset, and not inside an event.
    const looksComplete = isSuccess && answer.isComplete && (answer.body === '' || answer.body.endsWith('\n\n'))
    counts[!isSuccess ? 'other' : received === events ? 'whole' : 'early']++
    record(`client ${i} at ${address}: ${answer.id} answered ${answer.status}, ${received} events, ${answer.isComplete ? 'ended' : `broken off (${answer.error})`} after ${answer.elapsedMs} ms`)
    if (looksComplete && received < events) {
      breaks.push(`MIXED, ORDER: the stream of ${answer.id} ends as complete after ${received} of ${events} events (runs: ${runCounts.get(answer.id)})`)
    }
  }

  end () {
    const { sent, whole, early, other } = this.counts
    this.record(`sent ${sent}, answered whole ${whole}, ended early ${early}, other answers ${other}`)
    if (whole === 0) throw new Error('no request was served')
    return this.breaks
  }
}

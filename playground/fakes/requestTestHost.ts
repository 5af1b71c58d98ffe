import { request as openRequest } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createAnswerMemory } from './createAnswerMemory.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { systemClock } from '../../src/shared/systemClock.js'
import type { HostRecord } from '../../src/types/hostRecord.js'
import type { RequestKindSpec } from '../../src/types/requestKindSpec.js'
import type { StageSpec } from '../../src/types/stageSpec.js'
import type { Upstream } from '../../src/types/upstream.js'
import { chooseRouteHosts } from '../../src/node/requests/chooseRouteHosts.js'
import { RequestService } from '../../src/node/requests/requestService.js'
import { createCallerServer } from '../../src/node/server/createCallerServer.js'
import { UpstreamSet } from '../../src/node/upstreams/upstreamSet.js'
import { CountingMetrics } from './countingMetrics.js'
import { FixedContracts } from './fixedContracts.js'
import { FixedMembership } from './fixedMembership.js'
import { FixedStageRouter } from './fixedStageRouter.js'
import type { LoopbackPeers } from './loopbackPeers.js'
import type { MemoryClaims } from './memoryClaims.js'
import { StubAdmission } from './stubAdmission.js'
import { silentLogger } from './silentLogger.js'

interface RequestTestHostOptions {
  readonly id: string
  readonly hostsById: Map<string, HostRecord>
  readonly peers: LoopbackPeers
  readonly claims: MemoryClaims
  readonly upstreams: readonly Upstream[]
  readonly streamSilenceMs?: number
  readonly abandonGraceMs?: number
  readonly bodyTimeoutMs?: number
}

interface TestAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
}

const stage = (name: string, operation: StageSpec['operation'], pool: string, after: readonly string[] = []): StageSpec =>
  ({ name, operation, pool, after, model: operation === 'generate' ? 'bell' : undefined, maxTokens: 4096, serviceOperation: operation === 'call' ? 'issue' : undefined })
const spec = (stages: readonly StageSpec[], idempotent: boolean): RequestKindSpec =>
  ({ stages, deadlineMs: 5000, priority: 5, idempotent, objective: { attainment: 0.9, latencyMs: 1000 } })
const kinds = {
  query: spec([stage('encode', 'encode', 'pool'), stage('retrieve', 'retrieve', 'pool', ['encode']), stage('generate', 'generate', 'runners', ['retrieve'])], true),
  short: spec([stage('generate', 'generate', 'runners')], true),
  tag: spec([stage('encode', 'encode', 'pool')], true),
  status: spec([stage('read', 'call', 'service')], true),
  issue: spec([stage('issue', 'call', 'service')], false)
}

async function * createWatchLines (): AsyncGenerator<unknown> {
  yield { revision: 1 }
  yield { revision: 2 }
}

/** Entry host for tests: the real request service, upstream set and caller server on fakes of everything else. */
export class RequestTestHost {
  readonly router = new FixedStageRouter()
  readonly admission = new StubAdmission()
  readonly metrics = new CountingMetrics()
  readonly membership: FixedMembership
  readonly upstreams: UpstreamSet
  readonly requests: RequestService
  private readonly server: ReturnType<typeof createCallerServer>
  private port = 0
  unreadyReasons: readonly string[] = []

  constructor (options: RequestTestHostOptions) {
    const { id, hostsById, peers, claims } = options
    hostsById.set(id, { id, failureDomain: `zone-${id}`, address: `${id}:1`, peerAddress: id, incarnation: 1, state: 'live' })
    this.membership = new FixedMembership(id, hostsById)
    const { router, metrics, admission, membership } = this
    const common = { clock: systemClock, logger: silentLogger, metrics, router }
    this.upstreams = new UpstreamSet({ ...common, answerMemory: createAnswerMemory(), random: createSeededRandom(1), isEnginePool: pool => pool === 'runners', streamSilenceMs: options.streamSilenceMs, probeIntervalMs: 50 })
    this.upstreams.applyUpstreams(options.upstreams)
    this.requests = new RequestService({ ...common, admission, membership, transport: peers.createTransport(id), claims: claims.createService(id), upstreams: this.upstreams, abandonGraceMs: options.abandonGraceMs })
    const contracts = new FixedContracts([{ account: 'pier', kinds }, { account: 'quay', kinds }])
    this.server = createCallerServer({
      contracts,
      membership,
      metrics,
      logger: silentLogger,
      requests: this.requests,
      admin: {
        handle: async request => ({
          status: 200,
          body: request.path.endsWith('/watch') ? { type: 'lines', lines: createWatchLines() } : { type: 'json', value: { path: request.path, body: request.body } }
        })
      },
      operatorToken: 'operator-token',
      listUnreadyReasons: () => this.unreadyReasons,
      chooseRouteHosts: (hosts, contract) => chooseRouteHosts(hosts, contract.account, 4),
      bodyTimeoutMs: options.bodyTimeoutMs
    })
  }

  async start (): Promise<this> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.port = (this.server.address() as AddressInfo).port
    this.requests.start()
    return this
  }

  get origin (): string {
    return `http://127.0.0.1:${this.port}`
  }

  async stop (): Promise<void> {
    this.requests.stop()
    this.server.close()
    this.server.closeAllConnections()
    await this.upstreams.stop()
  }

  /** Sends an HTTP request. `onText` is called with the response text received so far, and may return false to close the connection. */
  async send (method: string, path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}, onText: (text: string) => boolean = () => true): Promise<TestAnswer> {
    return await new Promise((resolve, reject) => {
      const call = openRequest({ host: '127.0.0.1', port: this.port, method, path, agent: false, headers: { authorization: 'Bearer token-pier', ...headers } }, response => {
        let text = ''
        const settle = (): void => resolve({ status: response.statusCode ?? 0, headers: response.headers, text })
        response.setEncoding('utf8')
        response.on('data', chunk => {
          text += chunk
          if (onText(text)) return
          call.destroy()
          settle()
        })
        response.on('end', settle).on('error', settle)
      })
      call.on('error', reject)
      call.end(body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body))
    })
  }
}

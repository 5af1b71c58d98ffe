import { createHash } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { buildProduct } from './buildProduct.js'
import { ControlClient } from '../processes/controlClient.js'
import { createStandIn } from '../standIns/createStandIn.js'
import { EntryHostProcess } from '../processes/entryHostProcess.js'
import { findFreePorts } from '../processes/findFreePorts.js'
import { sendClientRequest } from './sendClientRequest.js'
import { UpstreamStandIn } from './upstreamStandIn.js'
import type { ClientAnswer } from './clientAnswer.js'
import type { StandInRequest } from './standInRequest.js'

interface ServedHostOptions {
  /** Additional LYCHEETRACK_ variables. */
  readonly environment?: Readonly<Record<string, string>>
  /** Words of a command that runs the host's process. */
  readonly launcher?: readonly string[]
  /** Opens a path to a platform service; resolves to its address (`ip:port`). */
  readonly openLink?: (service: 'key-value' | 'host-list', address: string) => Promise<string>
}

const token = 'caller-token-of-the-test'
const operatorToken = 'operator-token-of-the-test'
const status = {
  stages: [{ name: 'status', operation: 'call' as const, pool: 'shop', after: [], serviceOperation: 'status' }],
  deadlineMs: 4000,
  priority: 5,
  idempotent: true,
  objective: { attainment: 0.9, latencyMs: 1000 }
}
const rawStages = [{ ...status.stages[0]!, pool: 'raw' }]
const generation = { name: 'generation', operation: 'generate' as const, pool: 'raw', after: [], model: 'm', maxTokens: 16 }
const contract = {
  account: 'shop',
  tokenDigests: [createHash('sha256').update(token).digest('hex')],
  requestsPerSecond: 1000,
  tokensPerSecond: 1000,
  kinds: {
    status,
    slow: { ...status, deadlineMs: 60_000 },
    raw: { ...status, stages: rawStages },
    rawSlow: { ...status, stages: rawStages, deadlineMs: 60_000 },
    generation: { ...status, stages: [generation], deadlineMs: 60_000 }
  }
}

/** A host of the `serve` command as a process, with the stand-ins that it needs and two plain services. */
export class ServedHost {
  static readonly path = '/v1/requests'
  /** Header lines with the token of the account. */
  static readonly fields = `authorization: Bearer ${token}\r\n`
  static readonly headers = { authorization: `Bearer ${token}` }
  /** Upstream of the kinds `raw`, `rawSlow` and `generation`, whose answers a test can replace. */
  readonly raw = new UpstreamStandIn('raw-1', (request, socket) => { socket.write(buildCallAnswer(request)) })
  address = ''
  host!: EntryHostProcess
  private serviceAddress = ''
  private readonly product = buildProduct()
  private readonly control = new ControlClient()
  private readonly standIns = [
    createStandIn({ type: 'key-value-service' }),
    createStandIn({ type: 'host-list' }),
    createStandIn({ type: 'plain-service', pool: 'shop' })
  ]

  constructor (private readonly options: ServedHostOptions = {}) {}

  async start (): Promise<this> {
    const { environment, launcher, openLink = async (_, address) => address } = this.options
    const [keyValuePort, hostListPort, servicePort] = await Promise.all(this.standIns.map(async standIn => await standIn.start(0)))
    await this.raw.start()
    this.serviceAddress = `127.0.0.1:${servicePort}`
    const [port, peerPort] = await findFreePorts(2)
    const address = `127.0.0.1:${port}`
    const peerAddress = `127.0.0.1:${peerPort}`
    this.address = address
    this.host = new EntryHostProcess({
      program: this.product.program,
      id: 'host-1',
      failureDomain: 'quay-a',
      address,
      peerAddress,
      advertise: address,
      peerAdvertise: peerAddress,
      keyValueUrl: `http://${await openLink('key-value', `127.0.0.1:${keyValuePort}`)}`,
      hostListUrl: `http://${await openLink('host-list', `127.0.0.1:${hostListPort}`)}`,
      operatorToken,
      peerSecret: 'peer-secret-of-the-test',
      environment: { LYCHEETRACK_LOG_LEVEL: 'warning', ...environment },
      launcher
    })
    await this.control.writeHostList(`127.0.0.1:${hostListPort}`, [
      { id: 'host-1', address, peerAddress, role: 'entry', failureDomain: 'quay-a', state: 'live' },
      { id: 'shop-1', address: this.serviceAddress, role: 'shop', failureDomain: 'quay-a', state: 'live' },
      { id: 'raw-1', address: this.raw.address, role: 'raw', failureDomain: 'quay-a', state: 'live' }
    ])
    this.host.process.start()
    await this.host.waitReady()
    await this.control.writeContract(address, operatorToken, contract)
    await this.control.waitInForce(address, operatorToken, contract.account)
    return this
  }

  /** Starts the process anew, so that its peak is that of the next crowd. */
  async startAgain (): Promise<void> {
    await this.host.process.kill()
    this.host.process.start()
    await this.host.waitReady()
  }

  /** Lets the calls of the plain service take this many times longer. */
  async applySlowdown (slowFactor: number): Promise<void> {
    await this.control.setFaults(this.serviceAddress, { slowFactor })
  }

  /** Sends a request of a kind of the contract. Rejects when there is no answer. */
  async sendRequest (kind: string, id: string): Promise<ClientAnswer> {
    const body = JSON.stringify({ kind, input: {} })
    const { headers, path } = ServedHost
    return await sendClientRequest(this.address, id, path, { method: 'POST', headers, body })
  }

  /** Sends an ordinary request; resolves to whether it is answered within 5 s. */
  async sendOrdinary (): Promise<boolean> {
    const sent = this.sendRequest('status', 'ordinary')
    const answer = sent.then(({ status }) => status, () => undefined)
    return await Promise.race([answer, delay(5000, undefined, { ref: false })]) === 200
  }

  async stop (): Promise<void> {
    await this.host.process.kill()
    await this.control.close()
    this.raw.stop()
    await Promise.all(this.standIns.map(async standIn => { await standIn.stop() }))
    this.product.remove()
  }
}

/** The answer of a plain service to a call; to other requests, that it has no such path. */
function buildCallAnswer ({ method, body }: StandInRequest): string {
  if (method !== 'POST') return 'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
  const { call_id: callId } = JSON.parse(body) as { call_id: string }
  const answer = JSON.stringify({ call_id: callId, output: {} })
  return `HTTP/1.1 200 OK\r\nContent-Length: ${Buffer.byteLength(answer)}\r\n\r\n${answer}`
}

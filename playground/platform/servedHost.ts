import { createHash } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { buildProduct } from './buildProduct.js'
import { ControlClient } from '../processes/controlClient.js'
import { createStandIn } from '../standIns/createStandIn.js'
import { EntryHostProcess } from '../processes/entryHostProcess.js'
import { findFreePorts } from '../processes/findFreePorts.js'
import { sendClientRequest } from './sendClientRequest.js'

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
const contract = {
  account: 'shop',
  tokenDigests: [createHash('sha256').update(token).digest('hex')],
  requestsPerSecond: 1000,
  tokensPerSecond: 1000,
  kinds: { status, slow: { ...status, deadlineMs: 60_000 } }
}

/** A host of the `serve` command as a process, with the stand-ins that it needs and one plain service. */
export class ServedHost {
  static readonly path = '/v1/requests'
  /** Header lines with the token of the account. */
  static readonly fields = `authorization: Bearer ${token}\r\n`
  static readonly headers = { authorization: `Bearer ${token}` }
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
      { id: 'shop-1', address: this.serviceAddress, role: 'shop', failureDomain: 'quay-a', state: 'live' }
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

  /** Sends an ordinary request; resolves to whether it is answered within 5 s. */
  async sendOrdinary (): Promise<boolean> {
    const body = JSON.stringify({ kind: 'status', input: {} })
    const { headers, path } = ServedHost
    const sent = sendClientRequest(this.address, 'ordinary', path, { method: 'POST', headers, body })
    const answer = sent.then(({ status }) => status, () => undefined)
    return await Promise.race([answer, delay(5000, undefined, { ref: false })]) === 200
  }

  async stop (): Promise<void> {
    await this.host.process.kill()
    await this.control.close()
    await Promise.all(this.standIns.map(async standIn => { await standIn.stop() }))
    this.product.remove()
  }
}

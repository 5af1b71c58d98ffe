import { existsSync, readFileSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import type { HostListEntry } from '../../src/types/hostListEntry.js'
import { ControlClient } from './controlClient.js'
import type { DeploymentOptions } from './deploymentOptions.js'
import { EntryHostProcess } from './entryHostProcess.js'
import { findFreePorts } from './findFreePorts.js'
import type { ManagedProcess } from './managedProcess.js'
import { ProcessError } from './processError.js'
import type { StandInPlacement } from './standInPlacement.js'
import type { StandInProcess } from './standInProcess.js'

/**
 * Runs the entry hosts and stand-ins of an example as processes. `start` starts the stand-ins, writes the host list,
 * starts the entry hosts and writes the contracts; `stop` leaves no process behind.
 */
export class Deployment {
  private hosts: readonly EntryHostProcess[] = []
  private readonly leaving = new Set<string>()
  private readonly control = new ControlClient()

  constructor (
    private readonly options: DeploymentOptions,
    private readonly directory: string,
    private readonly placements: readonly StandInPlacement[],
    private readonly standIns: readonly StandInProcess[]
  ) {}

  get entryHosts (): readonly EntryHostProcess[] {
    return this.hosts
  }

  async start (): Promise<void> {
    await this.startStandIns()
    await this.startEntryHosts()
    await this.writeContracts()
  }

  async startStandIns (): Promise<void> {
    await Promise.all(this.standIns.map(standIn => standIn.start()))
  }

  /** Starts the entry hosts and waits until all are ready. */
  async startEntryHosts (): Promise<void> {
    const { example } = this.options
    const freePorts = await findFreePorts(2 * example.entryHosts.length)
    const ports = [this.options.firstHostPort ?? freePorts[0], ...freePorts.slice(1)]
    const openLink = this.options.openLink ?? (async (_kind, _id, address) => address)
    const keyValueAddress = await openLink('key-value', 'key-value-service', this.getAddress('key-value-service'))
    this.hosts = await Promise.all(example.entryHosts.map(async (host, index) => new EntryHostProcess({
      program: join(this.options.distDirectory, 'lycheetrack.cjs'),
      ...host,
      address: `127.0.0.1:${ports[2 * index]}`,
      peerAddress: `127.0.0.1:${ports[2 * index + 1]}`,
      advertise: await openLink('caller', host.id, `127.0.0.1:${ports[2 * index]}`),
      peerAdvertise: await openLink('peer', host.id, `127.0.0.1:${ports[2 * index + 1]}`),
      keyValueUrl: `http://${keyValueAddress}`,
      hostListUrl: `http://${this.getAddress('host-list')}`,
      operatorToken: example.operatorToken,
      peerSecret: example.peerSecret,
      environment: { LYCHEETRACK_LOG_LEVEL: 'warning', ...this.options.hostEnvironment }
    })))
    await this.writeHostList()
    for (const host of this.hosts) host.process.start()
    await Promise.all(this.hosts.map(host => host.waitReady()))
  }

  /** Writes the contracts through the administration API of the first entry host and waits until they are in force. */
  async writeContracts (): Promise<void> {
    const { example } = this.options
    const first = this.hosts[0]
    if (!first) throw new ProcessError('the deployment has no entry host')
    for (const contract of example.contracts) await this.control.writeContract(first.address, example.operatorToken, contract)
    await Promise.all(example.contracts.map(contract => this.control.waitInForce(first.address, example.operatorToken, contract.account)))
  }

  /** Sets the faults of a stand-in; `{}` clears them. */
  async setFaults (standInId: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.control.setFaults(this.getAddress(standInId), faults)
  }

  /** Marks a host or an upstream as leaving or live in the host list. */
  async setLeaving (id: string, isLeaving: boolean): Promise<void> {
    if (isLeaving) this.leaving.add(id)
    else this.leaving.delete(id)
    await this.writeHostList()
  }

  /** Reads the execution log of a stand-in, oldest entry first. */
  async readLog (standInId: string): Promise<readonly Readonly<Record<string, unknown>>[]> {
    const file = join(this.directory, `${standInId}.log`)
    if (!this.options.writesExecutionLogs) return this.control.readLog(this.getAddress(standInId))
    return existsSync(file) ? parseLines(readFileSync(file, 'utf8')) : []
  }

  /** Ids of the upstreams of a pool, or of all upstreams. */
  listUpstreams (pool?: string): readonly string[] {
    return this.placements.filter(placement => pool === undefined ? placement.pool !== undefined : placement.pool === pool).map(placement => placement.options.id)
  }

  /** Ids of the upstreams of a failure domain. */
  listUpstreamsInDomain (failureDomain: string): readonly string[] {
    return this.placements.filter(placement => placement.pool !== undefined && placement.failureDomain === failureDomain).map(placement => placement.options.id)
  }

  /** Address (`ip:port`) of a stand-in. */
  getAddress (standInId: string): string {
    const address = this.standIns.map(standIn => standIn.listAddresses().get(standInId)).find(found => found !== undefined)
    if (address === undefined) throw new ProcessError(`no stand-in ${standInId}`)
    return address
  }

  /** Kills the process of a host or a stand-in with SIGKILL. */
  async kill (id: string): Promise<void> {
    await this.getProcess(id).kill()
  }

  freeze (id: string): void {
    this.getProcess(id).freeze()
  }

  resume (id: string): void {
    this.getProcess(id).resume()
  }

  /** Stops the process with SIGTERM, on which an entry host drains; resolves with the exit code. */
  async stopProcess (id: string, timeoutMs?: number): Promise<number | null> {
    return this.getProcess(id).stop(timeoutMs)
  }

  /** Starts a stopped or killed process again, at the same addresses. */
  async startProcess (id: string): Promise<void> {
    const host = this.hosts.find(host => host.id === id)
    if (host) {
      host.process.start()
      return host.waitReady()
    }
    await this.getStandInProcess(id).start()
  }

  /** Stops all processes, the entry hosts first; resolves with the exit codes of the entry hosts that were running. */
  async stop (timeoutMs?: number): Promise<readonly (number | null)[]> {
    const live = this.hosts.filter(host => host.process.isRunning)
    const codes = await Promise.all(live.map(host => host.process.stop(timeoutMs)))
    await Promise.all(this.standIns.map(standIn => standIn.process.stop(timeoutMs)))
    await this.control.close()
    rmSync(this.directory, { recursive: true, force: true })
    return codes
  }

  /** The process of an entry host, or the one that runs a stand-in. */
  getProcess (id: string): ManagedProcess {
    return this.hosts.find(host => host.id === id)?.process ?? this.getStandInProcess(id).process
  }

  private getStandInProcess (id: string): StandInProcess {
    const found = this.standIns.find(standIn => standIn.listAddresses().has(id))
    if (!found) throw new ProcessError(`no process runs ${id}`)
    return found
  }

  private async writeHostList (): Promise<void> {
    const hosts = this.hosts.map(({ id, advertise, peerAdvertise, failureDomain }) => ({ id, address: advertise, peerAddress: peerAdvertise, role: 'entry', failureDomain }))
    const upstreams = this.placements.flatMap(({ pool, failureDomain, options }) => {
      return pool === undefined ? [] : [{ id: options.id, address: this.getAddress(options.id), role: pool, failureDomain: failureDomain ?? '' }]
    })
    const entries: HostListEntry[] = [...hosts, ...upstreams].map(entry => ({ ...entry, state: this.leaving.has(entry.id) ? 'leaving' : 'live' }))
    await this.control.writeHostList(this.getAddress('host-list'), entries)
  }
}

/** Drops the last line, which a killed process may have left incomplete. */
function parseLines (text: string): readonly Readonly<Record<string, unknown>>[] {
  return text.split('\n').slice(0, -1).map(line => JSON.parse(line))
}

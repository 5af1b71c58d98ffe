import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import type { Clock } from '../../types/clock.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import { peerMethods } from '../peers/peerMethods.js'
import { buildRequestKey } from './buildRequestKey.js'
import { requestConstants } from './constants.js'
import { decodeRegistrationResult } from './decodeRegistrationResult.js'
import { encodeRegistration } from './encodeRegistration.js'
import type { Registration } from './registration.js'
import type { RegistrationResult } from './registrationResult.js'
import { RequestError } from './requestError.js'
import type { RequestDirectory } from './requestDirectory.js'

/** Registers and looks up requests at their directory hosts, of which this host may be one. */
export class DirectoryClient {
  constructor (
    private readonly directory: RequestDirectory,
    private readonly membership: MembershipView,
    private readonly transport: PeerTransport,
    private readonly clock: Clock
  ) {}

  /** Lists the primary and the backup directory host of a request, among the live and suspect hosts. */
  listDirectoryHosts (account: string, requestId: string): readonly HostRecord[] {
    const hosts = new Map(this.membership.listHosts()
      .filter(host => host.state === 'live' || host.state === 'suspect')
      .map(host => [host.id, host]))
    return chooseByRendezvous(buildRequestKey(account, requestId), [...hosts.keys()], 2).map(id => hosts.get(id)!)
  }

  /**
   * Registers at the primary and copies an accepted registration to the backup. Registers at the backup alone when the
   * primary does not respond in time. Resolves with undefined when neither responds.
   */
  async register (registration: Registration): Promise<RegistrationResult | undefined> {
    const hosts = this.listDirectoryHosts(registration.identity.account, registration.identity.requestId)
    for (const [index, host] of hosts.entries()) {
      const result = await this.sendRegistration(host, registration)
      if (result === undefined) continue
      const backup = index === 0 ? hosts[1] : undefined
      if (result.accepted && backup !== undefined) this.sendRegistration(backup, registration).catch(() => {})
      return result
    }
    return undefined
  }

  /**
   * Registers at both directory hosts and waits for both; a rejection by either prevails. For calls whose refusals
   * must be certain.
   */
  async registerAtBoth (registration: Registration): Promise<RegistrationResult | undefined> {
    const hosts = this.listDirectoryHosts(registration.identity.account, registration.identity.requestId)
    const results = await Promise.all(hosts.map(async host => await this.sendRegistration(host, registration)))
    const known = results.filter(result => result !== undefined)
    return known.find(result => !result.accepted) ?? known[0]
  }

  /** Finds the current owner at whichever directory host knows one. Resolves with undefined when neither responds. */
  async find (account: string, requestId: string, timeoutMs: number = requestConstants.directoryTimeoutMs): Promise<RegistrationResult | undefined> {
    const lookups = this.listDirectoryHosts(account, requestId).map(async host => await this.sendFind(host, account, requestId, timeoutMs))
    // One host that knows an owner is enough. Only when no host knows one does the result say that there is none.
    const ownerLookups = lookups.map(async lookup => {
      const result = await lookup
      return result !== undefined && result.ownerId !== '' ? result : await Promise.reject(new RequestError('request_not_found', `directory host knows no owner of request ${requestId}`, 404, 'unknown'))
    })
    const found = await Promise.any(ownerLookups).catch(() => undefined)
    return found ?? (await Promise.all(lookups)).find(result => result !== undefined)
  }

  private async sendRegistration (host: HostRecord, registration: Registration): Promise<RegistrationResult | undefined> {
    if (host.id === this.membership.getSelf().id) return this.directory.register(registration, this.clock.readMonotonicMs())
    try {
      const message = encodeRegistration(registration)
      return decodeRegistrationResult(await this.transport.send(host.peerAddress, peerMethods.registerRequest, message, requestConstants.directoryTimeoutMs))
    } catch {
      return undefined
    }
  }

  private async sendFind (host: HostRecord, account: string, requestId: string, timeoutMs: number): Promise<RegistrationResult | undefined> {
    if (host.id === this.membership.getSelf().id) return this.directory.find(account, requestId)
    try {
      return decodeRegistrationResult(await this.transport.send(host.peerAddress, peerMethods.findRequest, { account, requestId }, timeoutMs))
    } catch {
      return undefined
    }
  }
}

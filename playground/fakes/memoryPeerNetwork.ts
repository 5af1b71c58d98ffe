import { LycheetrackError } from '../../src/shared/lycheetrackError.js'
import { PeerRefusedError } from '../../src/shared/peerRefusedError.js'
import { PeerUnavailableError } from '../../src/shared/peerUnavailableError.js'
import type { HostRecord } from '../../src/types/hostRecord.js'
import type { MembershipView } from '../../src/types/membershipView.js'
import type { PeerMethod } from '../../src/types/peerMethod.js'
import type { PeerTransport } from '../../src/types/peerTransport.js'

type Handler = (request: unknown, peerId: string) => unknown

/** Unary calls between hosts in one process, routed by peer address; messages are encoded and decoded. */
export class MemoryPeerNetwork {
  private readonly handlers = new Map<string, Handler>()
  private readonly hosts: HostRecord[] = []
  /** Awaited before each call and each response is delivered; tests use it to add latency. */
  wait: () => Promise<void> = async () => {}
  /** Returns true if messages from `from` to `to` are lost; the caller then gets a `PeerUnavailableError`. */
  isLost: (from: string, to: string) => boolean = () => false

  /** Adds a host and returns its transport and its view of all hosts. */
  addHost (id: string): { readonly transport: PeerTransport, readonly membership: MembershipView } {
    const self: HostRecord = { id, failureDomain: 'domain-1', address: id, peerAddress: id, incarnation: 1, state: 'live' }
    this.hosts.push(self)
    return { transport: this.createTransport(id), membership: this.createMembership(self) }
  }

  private createTransport (id: string): PeerTransport {
    return {
      send: async (peerAddress, method, request) => await this.sendCall(id, peerAddress, method, request),
      openStream: () => { throw new PeerUnavailableError('streams are not supported') },
      handle: (method, handler) => { this.handlers.set(id + method.path, handler as Handler) },
      handleStream: () => {}
    }
  }

  private createMembership (self: HostRecord): MembershipView {
    return {
      getSelf: () => self,
      listHosts: () => this.hosts,
      find: hostId => this.hosts.find(host => host.id === hostId),
      onChange: () => () => {}
    }
  }

  private async sendCall<Request, Response> (from: string, to: string, method: PeerMethod<Request, Response>, request: Request): Promise<Response> {
    const handler = this.handlers.get(to + method.path)
    await this.wait()
    if (handler === undefined || this.isLost(from, to)) throw new PeerUnavailableError(`${to} does not respond`)
    try {
      const response = await handler(method.decodeRequest(method.encodeRequest(request)), from) as Response
      await this.wait()
      if (this.isLost(to, from)) throw new PeerUnavailableError(`the response of ${to} was lost`)
      return method.decodeResponse(method.encodeResponse(response))
    } catch (error) {
      if (error instanceof LycheetrackError && !(error instanceof PeerUnavailableError)) throw new PeerRefusedError(error.code, error.message)
      throw error
    }
  }
}

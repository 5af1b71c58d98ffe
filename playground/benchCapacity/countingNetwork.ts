import { LycheetrackError } from '../../src/shared/lycheetrackError.js'
import { PeerRefusedError } from '../../src/shared/peerRefusedError.js'
import { PeerUnavailableError } from '../../src/shared/peerUnavailableError.js'
import type { HostRecord } from '../../src/types/hostRecord.js'
import type { PeerTransport } from '../../src/types/peerTransport.js'
import type { VirtualClock } from '../fakes/virtualClock.js'
import { capacityConstants } from './constants.js'

type Handler = (request: unknown, peerId: string) => unknown

interface CallCount {
  calls: number
  /** Requests and responses, as encoded; without the framing of gRPC. */
  bytes: number
}

/** Network of unary calls between many hosts in virtual time. Encodes messages with their codecs and counts calls and bytes by method. */
export class CountingNetwork {
  readonly hosts: readonly HostRecord[]
  readonly counts = new Map<string, CallCount>()
  private readonly handlers = new Map<string, Handler>()

  constructor (private readonly clock: VirtualClock, count: number) {
    this.hosts = Array.from({ length: count }, (_, i) => ({
      id: `host-${i}`,
      failureDomain: `domain-${i % capacityConstants.failureDomains}`,
      address: `host-${i}`,
      peerAddress: `host-${i}`,
      incarnation: 1,
      state: 'live'
    }))
  }

  createTransport (id: string): PeerTransport {
    return {
      send: async (peerAddress, method, request) => {
        const handler = this.handlers.get(peerAddress + method.path)
        if (handler === undefined) throw new PeerUnavailableError(`${peerAddress} does not answer`)
        const bytes = method.encodeRequest(request)
        this.addCall(method.path, 1, bytes.length)
        await this.clock.wait(capacityConstants.peerDelayMs)
        try {
          const answer = method.encodeResponse(await handler(method.decodeRequest(bytes), id) as never)
          this.addCall(method.path, 0, answer.length)
          await this.clock.wait(capacityConstants.peerDelayMs)
          return method.decodeResponse(answer)
        } catch (error) {
          throw error instanceof LycheetrackError ? new PeerRefusedError(error.code, error.message) : error
        }
      },
      openStream: () => { throw new PeerUnavailableError('the counting network does not support streams') },
      handle: (method, handler) => { this.handlers.set(id + method.path, handler as Handler) },
      handleStream: () => {}
    }
  }

  /** Returns the calls and bytes of all hosts by method since the previous call of this method. */
  takeCounts (): ReadonlyMap<string, CallCount> {
    const taken = new Map(this.counts)
    this.counts.clear()
    return taken
  }

  private addCall (path: string, calls: number, bytes: number): void {
    const name = path.slice(path.lastIndexOf('/') + 1)
    const count = this.counts.get(name) ?? { calls: 0, bytes: 0 }
    count.calls += calls
    count.bytes += bytes
    this.counts.set(name, count)
  }
}

import { LycheetrackError } from '../../src/shared/lycheetrackError.js'
import { PeerRefusedError } from '../../src/shared/peerRefusedError.js'
import { PeerUnavailableError } from '../../src/shared/peerUnavailableError.js'
import type { PeerTransport } from '../../src/types/peerTransport.js'
import type { Random } from '../../src/types/random.js'
import type { Scheduler } from '../../src/types/scheduler.js'
import type { VirtualClock } from './virtualClock.js'

type Handler = (request: never, peerId: string) => unknown

interface FakeHost {
  readonly id: string
  readonly handlers: Map<string, Handler>
  isCrashed: boolean
  isFrozen: boolean
  backlog: Array<() => void>
  byteCount: number
  messageCount: number
}

/**
 * In-memory peer network under virtual time. Messages are encoded and decoded, so that the byte counts are
 * those of the wire. Disconnected, crashed and frozen hosts do not respond; when a frozen host resumes, it
 * handles everything that was due in the meantime.
 */
export class FakePeerNetwork {
  private readonly hosts = new Map<string, FakeHost>()
  /** Returns true if the network drops all messages from `from` to `to`. */
  isCut: (from: string, to: string) => boolean = () => false
  /** Share of messages that are lost. */
  lossShare = 0

  constructor (private readonly clock: VirtualClock, private readonly random: Random, private readonly latencyMs = 2) {}

  /** Creates a host with the peer address `<id>:1`; it replaces a crashed host with the same id. */
  createHost (id: string): { readonly transport: PeerTransport, readonly scheduler: Scheduler } {
    const host: FakeHost = { id, handlers: new Map(), isCrashed: false, isFrozen: false, backlog: [], byteCount: 0, messageCount: 0 }
    this.hosts.set(id, host)
    const transport: PeerTransport = {
      send: async (peerAddress, method, request, timeoutMs) => {
        return method.decodeResponse(await this.sendBytes(host, peerAddress, method.path, method.encodeRequest(request), timeoutMs))
      },
      openStream: () => { throw new PeerUnavailableError('the fake network has no streams') },
      handle: (method, handler) => {
        host.handlers.set(method.path, async (bytes: Uint8Array, peerId: string) => {
          return method.encodeResponse(await handler(method.decodeRequest(bytes), peerId))
        })
      },
      handleStream: () => {}
    }
    return { transport, scheduler: this.createScheduler(host) }
  }

  /** Crashes the host: it sends and handles nothing more. */
  removeHost (id: string): void {
    const host = this.hosts.get(id)
    if (host) host.isCrashed = true
  }

  /** Freezes or resumes the host. */
  setFrozen (id: string, isFrozen: boolean): void {
    const host = this.hosts.get(id)
    if (!host) return
    host.isFrozen = isFrozen
    if (isFrozen) return
    const backlog = host.backlog
    host.backlog = []
    for (const run of backlog) run()
  }

  /** Bytes and messages that each host sent and received since the previous call, by host id. */
  takeTraffic (): ReadonlyMap<string, { readonly bytes: number, readonly messages: number }> {
    const traffic = new Map<string, { bytes: number, messages: number }>()
    for (const host of this.hosts.values()) {
      traffic.set(host.id, { bytes: host.byteCount, messages: host.messageCount })
      host.byteCount = 0
      host.messageCount = 0
    }
    return traffic
  }

  private createScheduler (host: FakeHost): Scheduler {
    return {
      schedule: (delayMs, run) => {
        let isCancelled = false
        const cancel = this.clock.schedule(delayMs, () => { this.runAt(host, () => { if (!isCancelled) run() }) })
        return () => {
          isCancelled = true
          cancel()
        }
      }
    }
  }

  private runAt (host: FakeHost, run: () => void): void {
    if (host.isCrashed) return
    if (host.isFrozen) host.backlog.push(run)
    else run()
  }

  private async sendBytes (from: FakeHost, peerAddress: string, path: string, request: Uint8Array, timeoutMs: number): Promise<Uint8Array> {
    return await new Promise((resolve, reject) => {
      const cancel = this.createScheduler(from).schedule(timeoutMs, () => { reject(new PeerUnavailableError(`${peerAddress} did not answer`)) })
      const settle = (run: () => void): void => { cancel(); run() }
      this.sendLater(from, peerAddress, request, to => {
        const handler = to.handlers.get(path)
        const answer = Promise.resolve().then(async () => await (handler?.(request as never, from.id) as Promise<Uint8Array> | undefined))
        answer.then(bytes => {
          if (!bytes) return
          this.sendLater(to, `${from.id}:1`, bytes, () => { settle(() => { resolve(bytes) }) })
        }, (error: unknown) => {
          const peerError = error instanceof LycheetrackError ? new PeerRefusedError(error.code, error.message) : new PeerUnavailableError(String(error))
          this.sendLater(to, `${from.id}:1`, new Uint8Array(), () => { settle(() => { reject(peerError) }) })
        })
      })
    })
  }

  private sendLater (from: FakeHost, peerAddress: string, bytes: Uint8Array, onArrival: (to: FakeHost) => void): void {
    from.byteCount += bytes.length
    from.messageCount++
    this.clock.schedule(this.latencyMs * (0.5 + this.random()), () => {
      const to = this.hosts.get(peerAddress.slice(0, peerAddress.lastIndexOf(':')))
      if (!to || to.isCrashed || this.isCut(from.id, to.id) || this.random() < this.lossShare) return
      to.byteCount += bytes.length
      to.messageCount++
      this.runAt(to, () => { onArrival(to) })
    })
  }
}

import { listenerConstants } from './constants.js'
import { readSocketOutput } from './readSocketOutput.js'
import { UnreadAnswers } from './unreadAnswers.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'
import type { Metrics } from '../../types/metrics.js'
import type { Server, Socket } from 'node:net'
import type { UnreadReason } from './unreadReason.js'

interface RoomOptions {
  readonly server: Server
  /** Most connections; further ones are closed at once unless one with an unread answer gives way. */
  readonly maxConnections: number
  /** Time after which a connection is closed whose client takes nothing of a pending answer. */
  readonly getUnreadTimeoutMs: () => number
  /** Closes a connection whose answer is unread. */
  readonly closeUnread: (socket: Socket, reason: UnreadReason) => void
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Bounds the connections of a server, and closes those whose clients leave answers unread: after a timeout, or at once
 * when a new connection finds no room.
 */
export class ConnectionRoom {
  private readonly sockets = new Set<Socket>()
  private readonly unread = new UnreadAnswers<Socket>()
  private refusalLoggedAtMs = -Infinity

  constructor (private readonly options: RoomOptions) {
    const { server } = options
    this.updateLimit()
    server.on('drop', () => { this.recordRefusal() })
    const timer = setInterval(() => { this.checkUnread() }, listenerConstants.unreadCheckMs).unref()
    server.on('close', () => { clearInterval(timer) })
  }

  /** Decides whether a connection that was just accepted stays; it is closed otherwise. */
  admit (socket: Socket): boolean {
    if (this.sockets.size >= this.options.maxConnections && !this.evictUnread()) {
      this.recordRefusal()
      socket.destroy()
      return false
    }
    this.sockets.add(socket)
    socket.once('close', () => { this.removeSocket(socket) })
    return true
  }

  private checkUnread (): void {
    const { clock, getUnreadTimeoutMs, closeUnread } = this.options
    const nowMs = clock.readMonotonicMs()
    for (const socket of this.sockets) this.unread.observe(socket, readSocketOutput(socket), nowMs)
    for (const socket of this.unread.listUnread(getUnreadTimeoutMs(), nowMs)) {
      this.removeSocket(socket)
      closeUnread(socket, 'unread-timeout')
    }
    this.updateLimit()
  }

  /** Closes the connection whose answer has been unread for longest; returns whether there was one. */
  private evictUnread (): boolean {
    const socket = this.findEvicted()
    if (socket === undefined) return false
    this.removeSocket(socket)
    this.options.closeUnread(socket, 'unread-evicted')
    this.updateLimit()
    return true
  }

  private findEvicted (): Socket | undefined {
    const nowMs = this.options.clock.readMonotonicMs()
    return this.unread.findLongestUnread(listenerConstants.minEvictedUnreadMs, nowMs, readSocketOutput)
  }

  /** While a connection can give way, the server accepts one more; it drops others at less cost than `admit`. */
  private updateLimit (): void {
    const { server, maxConnections } = this.options
    server.maxConnections = maxConnections + (this.findEvicted() === undefined ? 0 : 1)
  }

  private removeSocket (socket: Socket): void {
    this.sockets.delete(socket)
    this.unread.remove(socket)
  }

  private recordRefusal (): void {
    const { clock, logger, metrics, maxConnections } = this.options
    metrics.addCount('client_connections_refused', {})
    const nowMs = clock.readMonotonicMs()
    if (nowMs - this.refusalLoggedAtMs < listenerConstants.refusalLogIntervalMs) return
    this.refusalLoggedAtMs = nowMs
    logger.recordWarning('client connections refused', { maxConnections })
  }
}

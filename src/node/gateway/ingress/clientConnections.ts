import { setTimeout as delay } from 'node:timers/promises'
import { ArrivalTimes } from './arrivalTimes.js'
import { ClientConnection } from './clientConnection.js'
import { HeadGate } from './headGate.js'
import { ingressConstants } from './constants.js'
import { waitForArrivals } from '../../listeners/waitForArrivals.js'
import type { CutOffAnswer } from './cutOffAnswer.js'
import type { CutOffRequest } from './cutOffRequest.js'
import type { InputError } from './inputError.js'
import type { IngressOptions } from './ingressOptions.js'
import type { RequestRunDependencies } from './requestRunDependencies.js'
import type { Socket } from 'node:net'

interface ConnectionsOptions extends Pick<IngressOptions, 'heap'> {
  readonly dependencies: Pick<RequestRunDependencies, 'clock' | 'logger' | 'metrics'>
}

/** The open connections of clients: the limits on their heads, and when they are closed. */
export class ClientConnections {
  private maxHeadBytes: number = ingressConstants.maxHeaderBytes
  private readonly connections = new Map<Socket, ClientConnection>()
  private readonly headGate: HeadGate
  private readonly arrivals: ArrivalTimes

  constructor (private readonly options: ConnectionsOptions) {
    const { heap, dependencies: { clock, logger, metrics } } = options
    const getMaxHeadBytes = (): number => this.maxHeadBytes
    this.arrivals = new ArrivalTimes({ clock, runAfterTurn: setImmediate })
    this.headGate = new HeadGate({ connections: this.connections, getMaxHeadBytes, heap, clock, logger, metrics })
  }

  /** Largest head that new connections accept, in bytes. */
  get maxHeaderSize (): number {
    return this.maxHeadBytes
  }

  /** Requests in progress. */
  get requestCount (): number {
    let count = 0
    for (const connection of this.connections.values()) count += connection.requestCount
    return count
  }

  find (socket: Socket): ClientConnection | undefined {
    return this.connections.get(socket)
  }

  /** Sets the largest head that new connections accept, and closes those that accept another. */
  setMaxHeaderSize (maxHeaderSize: number): void {
    this.maxHeadBytes = maxHeaderSize
    const outdated = [...this.connections.values()]
    for (const connection of outdated) connection.setExpiring()
    this.closeAfterArrivals(outdated).catch(this.onCloseFailed)
  }

  /** Closes the connections that have no request in progress, at once. */
  closeIdle (): void {
    for (const connection of this.connections.values()) connection.closeIfIdle()
  }

  /** Closes the connections that have no request in progress after what has arrived at them was read. */
  closeIdleAfterArrivals (): void {
    this.closeAfterArrivals([...this.connections.values()]).catch(this.onCloseFailed)
  }

  /** Closes the connections that are left, because the process ends. */
  async endAll (): Promise<void> {
    if (this.connections.size === 0) return
    await waitForArrivals()
    for (const connection of this.connections.values()) {
      // Refusals of what has just arrived close their connections.
      if (connection.requestCount === 0) connection.close()
    }
    await delay(ingressConstants.endLingerMs)
    for (const connection of this.connections.values()) connection.closeNow('host-stopped')
    // The events that follow record the requests that are cut off.
    await delay(1)
  }

  onOpened (socket: Socket): void {
    const { clock, logger, metrics } = this.options.dependencies
    const onCutOff = (request: CutOffRequest): void => {
      metrics.addCount('requests_cut_off', { reason: request.reason, passed_on: String(request.wasPassedOn) })
      logger.recordWarning('request cut off', { ...request })
    }
    const onAnswerCutOff = (answer: CutOffAnswer): void => {
      metrics.addCount('answers_cut_off', { reason: answer.reason })
      logger.recordWarning('answer cut off', { ...answer })
    }
    const connection = new ClientConnection({ socket, clock, arrivals: this.arrivals, onCutOff, onAnswerCutOff })
    this.connections.set(socket, connection)
    socket.once('close', () => { this.connections.delete(socket) })
    this.headGate.onConnection(connection)
  }

  onIdleTimeout (socket: Socket): void {
    this.closeUnlessUsed(socket).catch(this.onCloseFailed)
  }

  onInputError (error: InputError, socket: Socket): void {
    const connection = this.connections.get(socket)
    const openRequests = connection?.requestCount
    this.options.dependencies.logger.recordInfo('bytes not readable', { ...error, openRequests })
    connection?.handleInputError(error)
  }

  private async closeUnlessUsed (socket: Socket): Promise<void> {
    const { bytesRead } = socket
    await waitForArrivals()
    const connection = this.connections.get(socket)
    if (connection?.requestCount === 0 && socket.bytesRead === bytesRead) connection.close()
  }

  private async closeAfterArrivals (connections: readonly ClientConnection[]): Promise<void> {
    await waitForArrivals()
    for (const connection of connections) connection.closeIfIdle()
  }

  private readonly onCloseFailed = (error: Error): void => {
    const { logger } = this.options.dependencies
    logger.recordError('connections not closed', { reason: error.message, stack: error.stack })
  }
}

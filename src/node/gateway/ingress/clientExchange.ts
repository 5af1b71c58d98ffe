import { computeRequestSize } from './computeRequestSize.js'
import { releaseMessageHead } from './releaseMessageHead.js'
import type { ClientRequest } from '../model/clientRequest.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { InputError } from './inputError.js'
import type { RequestSize } from './requestSize.js'

/** One request on a client's connection, with its response. */
export class ClientExchange {
  requestId: string | undefined
  readonly size: RequestSize
  readonly hasHost: boolean
  /** Value of the Expect header; empty when there is none. */
  readonly expectation: string
  private heldRequest: ClientRequest | undefined
  /** Set when the request is admitted; whether an upstream was sent it. */
  isPassedOn = (): boolean => false
  /** Set when the rest of the request cannot be read. */
  inputError: InputError | undefined
  private readonly inputEnded: Promise<'incomplete'>
  private resolveInputEnded!: (body: 'incomplete') => void
  private readonly turn: Promise<boolean>
  private resolveTurn!: (hasTurn: boolean) => void

  constructor (
    readonly message: IncomingMessage,
    readonly response: ServerResponse,
    /** Earliest monotonic time at which the request may have arrived at the kernel. */
    readonly arrivedAtMs: number,
    /** Monotonic time at which its head was parsed. */
    readonly receivedAtMs: number
  ) {
    this.size = computeRequestSize(message)
    this.hasHost = message.headers.host !== undefined
    this.expectation = message.headers.expect ?? ''
    this.inputEnded = new Promise(resolve => { this.resolveInputEnded = resolve })
    this.turn = new Promise(resolve => { this.resolveTurn = resolve })
  }

  /** The request as its head has it; undefined when it has no request id, and after `releaseHead`. */
  get request (): ClientRequest | undefined {
    return this.heldRequest
  }

  /** Sets the decoded request. The texts of the message, which the request has copies of, are released. */
  setRequest (request: ClientRequest | undefined): void {
    this.heldRequest = request
    this.requestId = request?.id
    releaseMessageHead(this.message)
  }

  /** Releases what is kept of the head, since the request is not served. */
  releaseHead (): void {
    this.heldRequest = undefined
  }

  /**
   * Resolves to true when the responses to all requests before this one have ended, or to false when the connection is
   * closed before.
   */
  async waitForTurn (): Promise<boolean> {
    return await this.turn
  }

  /** Resolves like `body`, or to `incomplete` when the rest of it cannot be read. */
  async waitForBody<Body> (body: Promise<Body>): Promise<Body | 'incomplete'> {
    return await Promise.race([body, this.inputEnded])
  }

  endInput (error: InputError): void {
    this.inputError = error
    this.resolveInputEnded('incomplete')
  }

  startTurn (): void {
    this.resolveTurn(true)
  }

  /** Tells that the request gets no response. */
  cancel (): void {
    this.resolveTurn(false)
  }
}

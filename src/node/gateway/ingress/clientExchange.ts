import type { IncomingMessage, ServerResponse } from 'node:http'

/** One request on a client's connection, with its response. */
export class ClientExchange {
  requestId: string | undefined
  /** Set when the request is admitted; whether an upstream was sent it. */
  isPassedOn = (): boolean => false

  constructor (readonly message: IncomingMessage, readonly response: ServerResponse, readonly arrivedAtMs: number) {}
}

import { buildConnector, Client } from 'undici'
import { FramedHandler } from './framedHandler.js'
import { openSocket } from '../gateway/upstreams/openSocket.js'
import { UpstreamSocket } from '../gateway/upstreams/upstreamSocket.js'
import type { Dispatcher } from 'undici'

interface ServiceClientOptions {
  readonly connectTimeoutMs: number
  /** Builds the error of a connection that was not opened. */
  readonly createError: (message: string, cause?: Error) => Error
}

/**
 * One connection to a platform service. Limits the framing of responses: heads, trailers and interim responses without
 * end. Callers limit bodies and time.
 */
export class ServiceClient extends Client {
  private readonly connection: { socket?: UpstreamSocket }

  /** `origin`: base URL. Over TLS, only header lines and interim responses are limited. */
  constructor (origin: string, { connectTimeoutMs, createError }: ServiceClientOptions) {
    const connection: { socket?: UpstreamSocket } = {}
    const { protocol, hostname, port } = new URL(origin)
    super(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: protocol === 'https:'
        ? buildConnector({ timeout: connectTimeoutMs })
        : (_, callback) => {
            const socket = new UpstreamSocket()
            connection.socket = socket
            const address = `${hostname}:${port === '' ? 80 : port}`
            openSocket({ socket, address, timeoutMs: connectTimeoutMs, createError }, callback)
          }
    })
    this.connection = connection
  }

  // eslint-disable-next-line no-restricted-syntax -- a name of undici
  override dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, new FramedHandler(handler, () => { this.connection.socket?.onProgress() }))
  }
}

import { Client, credentials } from '@grpc/grpc-js'
import { peerConstants } from './constants.js'

interface PeerLink {
  readonly client: Client
  timeouts: number
}

/** One gRPC channel per peer address; a channel that timed out twice in a row is replaced. */
export class PeerLinks {
  private readonly links = new Map<string, PeerLink>()

  getClient (peerAddress: string): Client {
    const known = this.links.get(peerAddress)
    if (known) return known.client
    const client = createClient(peerAddress)
    this.links.set(peerAddress, { client, timeouts: 0 })
    return client
  }

  onAnswer (peerAddress: string, client: Client): void {
    const link = this.links.get(peerAddress)
    if (link?.client === client) link.timeouts = 0
  }

  onTimeout (peerAddress: string, client: Client): void {
    const link = this.links.get(peerAddress)
    if (link?.client !== client) return
    link.timeouts++
    if (link.timeouts < peerConstants.timeoutsUntilFresh) return
    this.links.delete(peerAddress)
    client.close()
  }

  closeAll (): void {
    for (const link of this.links.values()) link.client.close()
    this.links.clear()
  }
}

// The subchannel pool is local to the channel, because a shared one would hand the silent connection
// to the new channel.
function createClient (peerAddress: string): Client {
  return new Client(peerAddress, credentials.createInsecure(), {
    'grpc.use_local_subchannel_pool': 1,
    'grpc.keepalive_time_ms': peerConstants.keepaliveMs,
    'grpc.keepalive_timeout_ms': peerConstants.keepaliveTimeoutMs,
    'grpc.keepalive_permit_without_calls': 0,
    'grpc.client_idle_timeout_ms': peerConstants.idleConnectionMs,
    'grpc.initial_reconnect_backoff_ms': peerConstants.reconnectMinMs,
    'grpc.max_reconnect_backoff_ms': peerConstants.reconnectMaxMs,
    'grpc.max_receive_message_length': peerConstants.maxMessageBytes,
    'grpc.enable_retries': 0,
    'grpc.service_config_disable_resolution': 1,
    'grpc.enable_http_proxy': 0
  })
}

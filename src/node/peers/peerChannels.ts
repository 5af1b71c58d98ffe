import { Client, credentials } from '@grpc/grpc-js'
import { peerConstants } from './constants.js'

interface PeerChannel {
  readonly client: Client
  consecutiveTimeouts: number
}

/** Keeps one gRPC channel per peer address; a channel is replaced after two consecutive timeouts. */
export class PeerChannels {
  private readonly channels = new Map<string, PeerChannel>()

  getClient (peerAddress: string): Client {
    const known = this.channels.get(peerAddress)
    if (known) return known.client
    const client = createClient(peerAddress)
    this.channels.set(peerAddress, { client, consecutiveTimeouts: 0 })
    return client
  }

  onResponse (peerAddress: string, client: Client): void {
    const channel = this.channels.get(peerAddress)
    if (channel?.client === client) channel.consecutiveTimeouts = 0
  }

  onTimeout (peerAddress: string, client: Client): void {
    const channel = this.channels.get(peerAddress)
    if (channel?.client !== client) return
    channel.consecutiveTimeouts++
    if (channel.consecutiveTimeouts < peerConstants.timeoutsUntilReplacement) return
    this.channels.delete(peerAddress)
    client.close()
  }

  closeAll (): void {
    for (const channel of this.channels.values()) channel.client.close()
    this.channels.clear()
  }
}

// Each channel has its own subchannel pool: with the shared pool, a new channel would reuse the silent connection
// of the channel that it replaces.
function createClient (peerAddress: string): Client {
  return new Client(peerAddress, credentials.createInsecure(), {
    'grpc.use_local_subchannel_pool': 1,
    'grpc.keepalive_time_ms': peerConstants.keepaliveMs,
    'grpc.keepalive_timeout_ms': peerConstants.keepaliveTimeoutMs,
    'grpc.keepalive_permit_without_calls': 0,
    'grpc.client_idle_timeout_ms': peerConstants.idleConnectionTimeoutMs,
    'grpc.initial_reconnect_backoff_ms': peerConstants.minReconnectDelayMs,
    'grpc.max_reconnect_backoff_ms': peerConstants.maxReconnectDelayMs,
    'grpc.max_receive_message_length': peerConstants.maxMessageBytes,
    'grpc.enable_retries': 0,
    'grpc.service_config_disable_resolution': 1,
    'grpc.enable_http_proxy': 0
  })
}

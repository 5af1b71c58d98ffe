import type { LogLevel } from '../../types/logLevel.js'

/** Validated settings of an entry host with all defaults filled in; see `UserSettings` for their meaning. */
export interface ResolvedSettings {
  readonly hostId: string
  readonly failureDomain: string
  readonly listen: string
  readonly peerListen: string
  readonly advertise: string
  readonly peerAdvertise: string
  readonly keyValueUrl: string
  readonly hostListUrl: string
  readonly operatorToken: string
  readonly peerSecret: string
  readonly routeLifetimeMs: number
  readonly hostListPollMs: number
  readonly loadPollMs: number
  readonly probeMs: number
  readonly logLevel: LogLevel
  readonly maxBodyBytes: number
  readonly answerRetentionMs: number
  readonly answerRetentionBytes: number
  readonly maxConnectionsPerUpstream: number
  readonly upstreamSubset: number
  readonly drainTimeoutMs: number
  readonly maxCallerConnections?: number
  readonly unreadTimeoutMs: number
  readonly seed?: number
}

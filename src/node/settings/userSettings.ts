import type { LogLevel } from '../../types/logLevel.js'

/**
 * Settings of an entry host as a user gives them. Each one is a flag (`--host-id`) and an environment
 * variable (`LYCHEETRACK_HOST_ID`); the flag wins. Numbers may be given as text.
 */
export interface UserSettings {
  /** Unique name of this host: letters, digits, dots and hyphens. */
  readonly hostId?: string
  /** Failure domain (zone) of this host. */
  readonly failureDomain?: string
  /** `ip:port` on which the caller and administration API listens. */
  readonly listen?: string
  /** `ip:port` on which the gRPC server for other hosts listens. */
  readonly peerListen?: string
  /**
   * `ip:port` that callers are told to connect to.
   * @default the value of `listen`
   */
  readonly advertise?: string
  /**
   * `ip:port` that other hosts are told to connect to.
   * @default the value of `peerListen`
   */
  readonly peerAdvertise?: string
  /** Base URL of the platform's key-value service. */
  readonly keyValueUrl?: string
  /** Base URL of the platform's host list. */
  readonly hostListUrl?: string
  /** Bearer token of the administration API. */
  readonly operatorToken?: string
  /** Secret with which entry hosts authenticate each other; the same on all hosts. */
  readonly peerSecret?: string
  /**
   * Milliseconds for which callers keep a route response. A drain takes at least this long.
   * @default 5000
   */
  readonly routeLifetimeMs?: number | string
  /**
   * Milliseconds between two reads of the host list.
   * @default 1000
   */
  readonly hostListPollMs?: number | string
  /**
   * Milliseconds between two reads of an upstream's load report.
   * @default 500
   */
  readonly loadPollMs?: number | string
  /**
   * Milliseconds between two probes of an upstream.
   * @default 1000
   */
  readonly probeMs?: number | string
  /**
   * Minimum level of the log lines that are written.
   * @default 'info'
   */
  readonly logLevel?: LogLevel | string
  /**
   * Maximum size of a request body in bytes.
   * @default 1048576
   */
  readonly maxBodyBytes?: number | string
  /**
   * Milliseconds for which a finished answer is kept for callers that send the same request again.
   * @default 60000
   */
  readonly answerRetentionMs?: number | string
  /**
   * Maximum size, in bytes, of the finished answers kept in memory; the oldest are dropped first.
   * @default 33554432
   */
  readonly answerRetentionBytes?: number | string
  /**
   * Maximum number of open connections to one upstream. Each running stream takes one.
   * @default 64
   */
  readonly maxConnectionsPerUpstream?: number | string
  /**
   * Maximum number of upstreams per pool that this host connects to; smaller pools are used completely.
   * @default 64
   */
  readonly upstreamSubset?: number | string
  /**
   * Milliseconds from the stop signal within which the process ends, even if requests are still running.
   * @default 120000
   */
  readonly drainTimeoutMs?: number | string
  /**
   * Maximum number of open connections of callers.
   * @default three quarters of the file descriptors of the process, less 32
   */
  readonly maxCallerConnections?: number | string
  /**
   * Milliseconds after which a connection is closed whose caller takes nothing of a pending answer.
   * @default 60000
   */
  readonly unreadTimeoutMs?: number | string
  /** Seed of the random numbers, for tests only; absent: a random seed. */
  readonly seed?: number | string
}

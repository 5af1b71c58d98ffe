import { systemClock } from '../../shared/systemClock.js'
import { systemScheduler } from '../../shared/systemScheduler.js'
import type { Clock } from '../../types/clock.js'
import type { HostList } from '../../types/hostList.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { Logger } from '../../types/logger.js'
import type { Metrics } from '../../types/metrics.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import type { Random } from '../../types/random.js'
import type { Scheduler } from '../../types/scheduler.js'
import { MembershipDriver } from './membershipDriver.js'

interface MembershipOptions {
  readonly hostId: string
  readonly failureDomain: string
  /** Address of the caller API, `ip:port`. */
  readonly address: string
  /** gRPC address for other hosts, `ip:port`. */
  readonly peerAddress: string
  readonly transport: PeerTransport
  readonly hostList: HostList
  readonly logger: Logger
  readonly metrics: Metrics
  /** @default systemClock */
  readonly clock?: Clock
  /** @default systemScheduler */
  readonly scheduler?: Scheduler
  /** @default Math.random */
  readonly random?: Random
}

/** Creates the membership of this host and registers its handlers on the transport. Call `start` once the transport is listening. */
export function createMembership (options: MembershipOptions): MembershipDriver {
  const { hostId, failureDomain, address, peerAddress, transport, hostList, logger, metrics } = options
  const clock = options.clock ?? systemClock
  const self: HostRecord = { id: hostId, failureDomain, address, peerAddress, incarnation: Math.round(clock.readWallMs()), state: 'live' }
  return new MembershipDriver({ self, transport, hostList, logger, metrics, clock, scheduler: options.scheduler ?? systemScheduler, random: options.random ?? Math.random })
}

import { randomUUID } from 'node:crypto'
import type { ClaimService } from '../../types/claimService.js'
import type { Clock } from '../../types/clock.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Logger } from '../../types/logger.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { Metrics } from '../../types/metrics.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import { ForwardingClaimCommitter } from './forwardingClaimCommitter.js'
import { LocalClaimCommitter } from './localClaimCommitter.js'
import { SegmentedClaimService } from './segmentedClaimService.js'

interface ClaimServiceOptions {
  readonly hostId: string
  readonly keyValue: KeyValueService
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /**
   * Connection to the other hosts, which share segment writes. Without it this host writes all of its claims itself.
   */
  readonly peers?: { readonly transport: PeerTransport, readonly membership: MembershipView }
  /** @default setTimeout */
  readonly wait?: (ms: number) => Promise<void>
  /** @default crypto.randomUUID */
  readonly createNonce?: () => string
}

/** Creates the claim service of a host. */
export function createClaimService (options: ClaimServiceOptions): ClaimService {
  const wait = options.wait ?? (ms => new Promise(resolve => setTimeout(resolve, ms)))
  const local = new LocalClaimCommitter(options.keyValue, options.clock, wait)
  const committer = options.peers === undefined
    ? local
    : new ForwardingClaimCommitter(local, options.peers.transport, options.peers.membership, options.clock)
  return new SegmentedClaimService({ ...options, committer, createNonce: options.createNonce ?? randomUUID })
}

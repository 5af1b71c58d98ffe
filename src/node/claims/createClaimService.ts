import { randomUUID } from 'node:crypto'
import type { Clock } from '../../types/clock.js'
import type { ClaimService } from '../../types/claimService.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Logger } from '../../types/logger.js'
import type { Metrics } from '../../types/metrics.js'
import { SegmentedClaimService } from './segmentedClaimService.js'

interface ClaimServiceOptions {
  readonly hostId: string
  readonly keyValue: KeyValueService
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /** @default setTimeout */
  readonly wait?: (ms: number) => Promise<void>
  /** @default crypto.randomUUID */
  readonly createNonce?: () => string
}

/** Creates the claim service of one host. */
export function createClaimService (options: ClaimServiceOptions): ClaimService {
  return new SegmentedClaimService({
    wait: ms => new Promise(resolve => setTimeout(resolve, ms)),
    createNonce: randomUUID,
    ...options
  })
}

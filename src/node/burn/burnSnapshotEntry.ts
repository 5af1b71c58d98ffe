import type { BurnCauses } from './burnCauses.js'
import type { BurnCounts } from './burnCounts.js'
import type { BurnPoint } from './burnPoint.js'
import type { BurnWindowName } from './burnWindowName.js'
import type { Objective } from '../../types/objective.js'

/** Counters of one account and kind. The counters of several hosts can be added. */
export interface BurnSnapshotEntry {
  readonly account: string
  readonly kind: string
  /** Null if no contract in force has this kind. */
  readonly objective: Objective | null
  readonly windows: Readonly<Record<BurnWindowName, BurnCounts>>
  readonly causes: BurnCauses
  /** The 5-minute buckets of the last hour, oldest first, without empty ones. */
  readonly points: readonly BurnPoint[]
}

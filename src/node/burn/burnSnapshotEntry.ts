import type { BurnCauses } from './burnCauses.js'
import type { BurnCounts } from './burnCounts.js'
import type { BurnPoint } from './burnPoint.js'
import type { BurnWindowName } from './burnWindowName.js'
import type { Objective } from '../../types/objective.js'

/** Counters of one account and kind; they add up over hosts. */
export interface BurnSnapshotEntry {
  readonly account: string
  readonly kind: string
  /** Null when no contract in force has the kind. */
  readonly objective: Objective | null
  readonly windows: Readonly<Record<BurnWindowName, BurnCounts>>
  readonly causes: BurnCauses
  /** The last hour, oldest first; buckets without requests are left out. */
  readonly points: readonly BurnPoint[]
}

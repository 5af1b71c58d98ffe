import type { AnswerMemory } from '../answers/answerMemory.js'
import type { Clock } from '../../../types/clock.js'
import type { CrashGuard } from '../crashes/crashGuard.js'
import type { EngineCapacities } from '../capacity/engineCapacities.js'
import type { EnginePlanner } from '../engines/enginePlanner.js'
import type { FirstEventTimes } from '../engines/firstEventTimes.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { Random } from '../../../types/random.js'
import type { RetryBudget } from '../upstreams/retryBudget.js'
import type { StageClient } from '../stages/stageClient.js'
import type { StreamVersions } from '../versions/streamVersions.js'
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js'
import type { UpstreamHeaderEncoder } from './upstreamHeaderEncoder.js'

/** Services and values that all requests of a host share. */
export interface RequestRunDependencies {
  readonly directory: UpstreamDirectory
  readonly stages: StageClient
  readonly engines: EnginePlanner
  readonly capacities: EngineCapacities
  readonly crashGuard: CrashGuard
  readonly firstEventTimes: FirstEventTimes
  readonly retryBudget: RetryBudget
  readonly streamVersions: StreamVersions
  readonly answerMemory: AnswerMemory
  /**
   * Resolves when it is known whether upstreams are reached directly or by way of other hosts; at once unless the links
   * are being checked.
   */
  readonly waitForPath: () => Promise<void>
  readonly encodeHeaders: UpstreamHeaderEncoder
  readonly failureDomain: string
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
}

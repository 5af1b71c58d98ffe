import type { AnswerMemory } from '../gateway/answers/answerMemory.js'
import type { Clock } from '../../types/clock.js'
import type { Upstream } from '../../types/upstream.js'
import { HttpModelEngine } from './httpModelEngine.js'
import { HttpPlainService } from './httpPlainService.js'
import { HttpStagePoolMember } from './httpStagePoolMember.js'
import type { StreamWatchdog } from './streamWatchdog.js'
import { UpstreamClient } from './upstreamClient.js'

interface ConnectedUpstreamOptions {
  readonly answerMemory: AnswerMemory
  readonly upstream: Upstream
  readonly clock: Clock
  readonly watchdog: StreamWatchdog
  readonly maxConnections?: number
  readonly streamSilenceMs?: number
  readonly onLeaving: () => void
}

/** An upstream with its HTTP client and an adapter for each protocol that it may speak. */
export class ConnectedUpstream {
  readonly client: UpstreamClient
  readonly engine: HttpModelEngine
  readonly stagePoolMember: HttpStagePoolMember
  readonly plainService: HttpPlainService
  /** Sequence number of the last cache event that was read. */
  cacheEventSeq = 0
  isProbing = false
  /** Loaded models according to the last probe; undefined when the upstream does not report them. */
  models: readonly string[] | undefined

  constructor (private readonly options: ConnectedUpstreamOptions) {
    this.client = new UpstreamClient({
      upstreamId: options.upstream.id,
      address: options.upstream.address,
      answerMemory: options.answerMemory,
      maxConnections: options.maxConnections,
      onLeaving: options.onLeaving
    })
    this.engine = new HttpModelEngine(this.client, options.watchdog, options.clock, options.streamSilenceMs)
    this.stagePoolMember = new HttpStagePoolMember(this.client)
    this.plainService = new HttpPlainService(this.client)
  }

  get upstream (): Upstream {
    return this.options.upstream
  }
}

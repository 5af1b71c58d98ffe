import type { Clock } from '../../types/clock.js'
import type { Upstream } from '../../types/upstream.js'
import { HttpModelEngine } from './httpModelEngine.js'
import { HttpPlainService } from './httpPlainService.js'
import { HttpStagePoolMember } from './httpStagePoolMember.js'
import type { StreamWatchdog } from './streamWatchdog.js'
import { UpstreamConnection } from './upstreamConnection.js'

interface ConnectedUpstreamOptions {
  readonly upstream: Upstream
  readonly clock: Clock
  readonly watchdog: StreamWatchdog
  readonly maxConnections?: number
  readonly streamSilenceMs?: number
  readonly onState: (state: string) => void
}

/** An upstream with its connections and one adapter for each protocol it may speak. */
export class ConnectedUpstream {
  readonly connection: UpstreamConnection
  readonly engine: HttpModelEngine
  readonly stagePoolMember: HttpStagePoolMember
  readonly plainService: HttpPlainService
  cacheEventSeq = 0
  isProbing = false
  /** Models that the engine reported last; undefined when it does not name them. */
  models: readonly string[] | undefined

  constructor (private readonly options: ConnectedUpstreamOptions) {
    this.connection = new UpstreamConnection({
      address: options.upstream.address,
      maxConnections: options.maxConnections,
      onState: options.onState
    })
    this.engine = new HttpModelEngine(this.connection, options.watchdog, options.clock, options.streamSilenceMs)
    this.stagePoolMember = new HttpStagePoolMember(this.connection)
    this.plainService = new HttpPlainService(this.connection)
  }

  get upstream (): Upstream {
    return this.options.upstream
  }
}

import type { ModelEngine } from './modelEngine.js'
import type { PlainService } from './plainService.js'
import type { StagePoolMember } from './stagePoolMember.js'

/** The adapters of the known upstreams by upstream id; undefined for an unknown one. */
export interface UpstreamLookup {
  findEngine (upstreamId: string): ModelEngine | undefined
  findStagePoolMember (upstreamId: string): StagePoolMember | undefined
  findPlainService (upstreamId: string): PlainService | undefined
  /** Replaces reused connections after a call to the upstream stayed unanswered. */
  closePooledConnections (upstreamId: string): void
}

import type { ModelEngine } from './modelEngine.js'
import type { PlainService } from './plainService.js'
import type { StagePoolMember } from './stagePoolMember.js'

/** Finds the adapters of connected upstreams; undefined for an unknown upstream id. */
export interface UpstreamLookup {
  findEngine (upstreamId: string): ModelEngine | undefined
  findStagePoolMember (upstreamId: string): StagePoolMember | undefined
  findPlainService (upstreamId: string): PlainService | undefined
  /** Replaces the reused connections to the upstream after a call over one of them got no response. */
  closePooledConnections (upstreamId: string): void
}

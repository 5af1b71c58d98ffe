import type { CutOffReason } from './cutOffReason.js'

/** A request whose connection was closed by the host before its response had begun. */
export interface CutOffRequest {
  readonly requestId: string | undefined
  readonly reason: CutOffReason
  /** Whether an upstream was sent the request. */
  readonly wasPassedOn: boolean
  readonly elapsedMs: number
}

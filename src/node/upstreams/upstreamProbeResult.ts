import type { UpstreamLoad } from './upstreamLoad.js'

/** Result of a probe; `load` is absent when the upstream does not report load. */
export interface UpstreamProbeResult {
  readonly leaving: boolean
  readonly load?: UpstreamLoad
}

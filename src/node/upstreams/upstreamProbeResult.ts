import type { UpstreamLoad } from './upstreamLoad.js'

/** Result of a probe; `load` is undefined when the upstream does not report its load. */
export interface UpstreamProbeResult {
  readonly leaving: boolean
  readonly load?: UpstreamLoad
}

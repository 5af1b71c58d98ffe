/** What an upstream has published in the store about itself. */
export interface UpstreamEntry {
  readonly id: string
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly failureDomain: string
  /** Version of the upstream's software; empty when not published. */
  readonly version: string
  readonly slots: number
  readonly isDraining: boolean
  /** Start of this instance, milliseconds since the epoch; 0 when not published. */
  readonly startedAtMs: number
  /** Time for which the upstream is still cold, as of this revision; undefined when not stated. */
  readonly coldMs?: number | 'unreadable'
  /** Revision of the entry in the store. */
  readonly revision?: number
}

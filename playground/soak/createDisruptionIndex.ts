import { soakConstants } from './constants.js'
import type { SoakDisruption } from './soakDisruption.js'

interface DisruptionIndex {
  /** Whether a disruption of one of the types lasts at a time within `fromMs` to `toMs`; `id` limits it to one part. */
  readonly hasDisruption: (
    types: ReadonlyArray<SoakDisruption['type']>,
    fromMs: number,
    toMs: number,
    id?: string
  ) => boolean
  /** Whether a host is in touch all the while; without `host`, whether all are. */
  readonly isInTouch: (fromMs: number, toMs: number, host?: string) => boolean
}

/** Creates an index of the disruptions that answers what the platform's rules ask of a time. */
export function createDisruptionIndex (disruptions: readonly SoakDisruption[]): DisruptionIndex {
  const hasDisruption: DisruptionIndex['hasDisruption'] = (types, fromMs, toMs, id) => disruptions.some(disruption => {
    if (!types.includes(disruption.type) || (id !== undefined && disruption.id !== id)) return false
    return disruption.fromMs <= toMs && disruption.toMs >= fromMs
  })
  return {
    hasDisruption,
    isInTouch: (fromMs, toMs, host) => {
      const sinceMs = fromMs - soakConstants.stableWindowMs
      const isHostCalm = !hasDisruption(['host', 'slow', 'start', 'stop'], sinceMs, toMs, host)
      return isHostCalm && !hasDisruption(['store'], sinceMs, toMs)
    }
  }
}

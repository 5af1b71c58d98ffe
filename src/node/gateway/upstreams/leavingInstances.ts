import { upstreamConstants } from './constants.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'

/** Instances of upstreams that have said in an answer that they will stop. They do not come back; their ids may. */
export class LeavingInstances {
  /** Start time of the instance by id of the upstream, the one seen first at the beginning. */
  private readonly startedAtMs = new Map<string, number>()

  add ({ id, startedAtMs }: UpstreamEntry): void {
    this.startedAtMs.set(id, startedAtMs)
    for (const oldest of this.startedAtMs.keys()) {
      if (this.startedAtMs.size <= upstreamConstants.maxLeavingInstances) return
      this.startedAtMs.delete(oldest)
    }
  }

  has ({ id, startedAtMs }: UpstreamEntry): boolean {
    return this.startedAtMs.get(id) === startedAtMs
  }
}
